#include "dispatch/crashing_part_tracker.h"

#include "base/log.h"
#include "base/metrics.h"

namespace bronzecross {
namespace {

// How long a crash is reported, and how many are, so that lost messages do no
// harm and a message stays short.
constexpr Millis kReportTime{10'000};
constexpr size_t kMaxReports = 16;
constexpr size_t kMaxExonerated = 24;

// Covers the interval between two updates.
constexpr Millis kSettleMargin{1'000};

constexpr Millis kExpiryInterval{5'000};

}  // namespace

void CrashingPartTracker::OnCrash(uint32_t upstream,
                                  std::span<const uint32_t> request,
                                  Millis now) {
  PartCrash crash;
  crash.m_upstream = upstream;
  crash.m_at = now;
  crash.m_parts.assign(request.begin(), request.end());
  crash.m_is_own = true;
  if (RecordCrash(m_parts, std::move(crash))) {
    m_settled_at = now + kCrashSettleTime;
  }
}

void CrashingPartTracker::OnCompletion(std::span<const uint32_t> request,
                                       Millis now) {
  const std::optional<uint32_t> blamed = FindBlamedPart(request);
  RecordCompletion(m_parts, request, now);
  if (blamed && !m_parts.m_blamed.contains(*blamed)) {
    Log(Severity::kInfo, LogPart::kRouting,
        "A blamed prompt part has completed and is cleared.",
        {{"part", *blamed}});
    // The peers that blame it learn of it as of a disputed part.
    m_parts.m_disputed[*blamed] = now;
  }
}

void CrashingPartTracker::OnGossip(const GossipMessage& gossip, Millis now) {
  for (const PartReport& report : gossip.m_exonerated_parts) {
    const uint32_t part = report.m_part;
    RecordCompletion(m_parts, {&part, 1}, now - report.m_age);
  }
  for (const PartReport& report : gossip.m_blamed_parts) {
    if (RecordBlame(m_parts, report.m_part, now - report.m_age, now)) {
      Log(Severity::kWarning, LogPart::kRouting,
          "Another VM reports that a prompt part crashes upstreams; requests "
          "with it are refused.",
          {{"part", report.m_part}, {"vm", gossip.m_sender.m_id}});
    }
  }
  for (const PartCrashReport& report : gossip.m_part_crashes) {
    PartCrash crash;
    crash.m_upstream = report.m_upstream;
    crash.m_at = now - report.m_age;
    crash.m_parts = report.m_parts;
    if (RecordCrash(m_parts, std::move(crash))) {
      m_settled_at = now + kCrashSettleTime;
    }
  }
}

void CrashingPartTracker::AddToGossip(GossipMessage& gossip, Millis now) const {
  for (auto crash = m_parts.m_crashes.rbegin();
       crash != m_parts.m_crashes.rend() &&
       gossip.m_part_crashes.size() < kMaxReports;
       ++crash) {
    if (crash->m_is_own && now - crash->m_at < kReportTime) {
      gossip.m_part_crashes.push_back(
          {crash->m_upstream, now - crash->m_at, crash->m_parts});
    }
  }
  for (auto entry = m_parts.m_blamed.begin(); entry != m_parts.m_blamed.end();
       ++entry) {
    gossip.m_blamed_parts.push_back({entry->first, now - entry->second});
  }
  std::vector<uint32_t> exonerated =
      FindExonerated(m_parts, now, kMaxExonerated);
  for (auto entry = m_parts.m_disputed.begin();
       entry != m_parts.m_disputed.end(); ++entry) {
    exonerated.push_back(entry->first);
  }
  for (const uint32_t part : exonerated) {
    const auto completed = m_parts.m_completions.find(part);
    if (completed != m_parts.m_completions.end()) {
      gossip.m_exonerated_parts.push_back({part, now - completed->second});
    }
  }
}

bool CrashingPartTracker::Update(Millis now) {
  bool has_blamed = false;
  if (now < m_settled_at + kSettleMargin) {
    for (const uint32_t part : BlameParts(m_parts, now)) {
      has_blamed = true;
      CountMetric("bronzecross_prompt_parts_blamed_total");
      Log(Severity::kWarning, LogPart::kRouting,
          "A prompt part crashes upstreams; requests with it are refused.",
          {{"part", part},
           {"crashes", m_parts.m_crashes.size()},
           {"since_ms", now - m_parts.m_blamed[part]}});
    }
  }
  if (now >= m_next_expiry) {
    m_next_expiry = now + kExpiryInterval;
    Expire(m_parts, now);
  }
  return has_blamed;
}

}  // namespace bronzecross
