#include "dispatch/poison_request_tracker.h"

#include <algorithm>
#include <vector>

#include "base/hash.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/text.h"

namespace bronzecross {
namespace {

// How long an entry is kept after its last crash or blocked request.
constexpr Millis kRetention{600'000};

// Maximum number of requests with crashes, and with remembered responses.
constexpr size_t kMaxEntries = 256;
constexpr size_t kMaxCompletions = 1'024;

// How long a VM reports what it has seen itself. Messages can be lost.
constexpr Millis kReportTime{10'000};

// Older crashes aren't reported: ages in messages are bounded.
constexpr Millis kMaxReportedAge{3'000'000};

// Maximum number of entries in one gossip message.
constexpr size_t kMaxReports = 12;

}  // namespace

uint32_t RequestFingerprint(std::string_view workspace,
                            std::string_view target,
                            std::string_view body) {
  return static_cast<uint32_t>(Hash64(body, Hash64(target, Hash64(workspace))));
}

bool PoisonRequestTracker::LogChange(uint32_t fingerprint,
                                     const Entry& entry,
                                     bool was_blocked) {
  const bool is_blocked = bronzecross::IsBlocked(entry.m_evidence);
  if (is_blocked == was_blocked) {
    return false;
  }
  CountMetric("bronzecross_poison_requests_total",
              {{"change", is_blocked ? "blocked" : "cleared"}});
  Log(is_blocked ? Severity::kWarning : Severity::kInfo, LogPart::kRouting,
      is_blocked ? "A request crashes upstreams and is blocked."
                 : "A blocked request got a complete response and is cleared.",
      {{"fingerprint", fingerprint},
       {"crashes", entry.m_evidence.m_crashes.size()},
       {"failed_trials", CountFailedTrials(entry.m_evidence)}});
  return true;
}

PoisonRequestTracker::Entry& PoisonRequestTracker::GetOrCreate(
    uint32_t fingerprint,
    Millis now) {
  const auto found = m_entries.find(fingerprint);
  if (found != m_entries.end()) {
    return found->second;
  }
  if (m_entries.size() >= kMaxEntries) {
    m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
                                     [](const auto& a, const auto& b) {
                                       return a.second.m_last < b.second.m_last;
                                     }));
  }
  Entry& entry = m_entries[fingerprint];
  entry.m_last = now;
  entry.m_evidence.m_completed = OwnCompletion(fingerprint);
  return entry;
}

Millis PoisonRequestTracker::OwnCompletion(uint32_t fingerprint) const {
  const auto found = m_completions.find(fingerprint);
  return found == m_completions.end() ? Millis() : found->second;
}

void PoisonRequestTracker::Remember(uint32_t fingerprint, Millis at) {
  Millis& last = m_completions[fingerprint];
  if (last == Millis()) {
    m_completed.push_back(fingerprint);
    if (m_completed.size() > kMaxCompletions) {
      m_completions.erase(m_completed.front());
      m_completed.pop_front();
    }
  }
  last = std::max(last, at);
}

bool PoisonRequestTracker::RecordCrash(uint32_t fingerprint,
                                       const RequestCrash& crash) {
  Entry& entry = GetOrCreate(fingerprint, crash.m_at);
  const bool was_blocked = bronzecross::IsBlocked(entry.m_evidence);
  AddCrash(entry.m_evidence, crash);
  entry.m_last = crash.m_at;
  if (!entry.m_evidence.m_crashes.empty()) {
    entry.m_news = crash.m_at;
  }
  return LogChange(fingerprint, entry, was_blocked);
}

bool PoisonRequestTracker::RecordCompletion(uint32_t fingerprint, Millis now) {
  Remember(fingerprint, now);
  const auto found = m_entries.find(fingerprint);
  if (found == m_entries.end() || found->second.m_evidence.m_crashes.empty()) {
    return false;
  }
  Entry& entry = found->second;
  const bool was_blocked = bronzecross::IsBlocked(entry.m_evidence);
  AddCompletion(entry.m_evidence, now);
  entry.m_news = now;
  return LogChange(fingerprint, entry, was_blocked);
}

bool PoisonRequestTracker::IsSuspect(uint32_t fingerprint) const {
  const auto found = m_entries.find(fingerprint);
  return found != m_entries.end() &&
         !found->second.m_evidence.m_crashes.empty();
}

bool PoisonRequestTracker::IsBlocked(uint32_t fingerprint) const {
  const auto found = m_entries.find(fingerprint);
  return found != m_entries.end() &&
         bronzecross::IsBlocked(found->second.m_evidence);
}

RunPermit PoisonRequestTracker::Permit(
    uint32_t fingerprint,
    absl::FunctionRef<bool(std::string_view)> is_chosen,
    Millis now) {
  if (!IsBlocked(fingerprint)) {
    return RunPermit::kRun;
  }
  Entry& entry = m_entries[fingerprint];
  entry.m_last = now;
  const std::optional<int64_t> window = FindTrialWindow(entry.m_evidence, now);
  const int failed = CountFailedTrials(entry.m_evidence);
  if (!window ||
      (entry.m_trial_window == *window && entry.m_trials_failed == failed) ||
      !is_chosen(Concat("trial ", fingerprint, " ", failed, " ", *window))) {
    return RunPermit::kBlocked;
  }
  entry.m_trial_window = *window;
  entry.m_trials_failed = failed;
  Log(Severity::kInfo, LogPart::kRouting, "A blocked request is tried.",
      {{"fingerprint", fingerprint}, {"failed_trials", failed}});
  return RunPermit::kTrial;
}

void PoisonRequestTracker::OnGossip(const GossipMessage& gossip, Millis now) {
  for (const RequestReport& report : gossip.m_request_reports) {
    Entry& entry = GetOrCreate(report.m_fingerprint, now);
    const bool was_blocked = bronzecross::IsBlocked(entry.m_evidence);
    const Millis own = OwnCompletion(report.m_fingerprint);
    for (const RequestCrashReport& crash : report.m_crashes) {
      const Millis started = now - crash.m_started_age;
      if (started <= own) {
        // The sender doesn't know that the request has completed here.
        entry.m_news = now;
      }
      AddCrash(entry.m_evidence, {.m_upstream_run = crash.m_upstream_run,
                                  .m_at = now - crash.m_age,
                                  .m_started = started,
                                  .m_is_trial = crash.m_is_trial,
                                  .m_is_first_hand = crash.m_is_first_hand});
    }
    if (report.m_completed_age) {
      AddCompletion(entry.m_evidence, now - *report.m_completed_age);
    }
    LogChange(report.m_fingerprint, entry, was_blocked);
  }
}

void PoisonRequestTracker::AddToGossip(GossipMessage& gossip,
                                       Millis now) const {
  std::vector<const std::pair<const uint32_t, Entry>*> reported;
  for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
    const bool is_news = entry->second.m_news != Millis() &&
                         now - entry->second.m_news < kReportTime;
    if (is_news || bronzecross::IsBlocked(entry->second.m_evidence)) {
      reported.push_back(&*entry);
    }
  }
  std::stable_sort(reported.begin(), reported.end(),
                   [](const auto* a, const auto* b) {
                     return a->second.m_evidence.m_crashes.size() >
                            b->second.m_evidence.m_crashes.size();
                   });
  reported.resize(std::min(reported.size(), kMaxReports));
  for (const auto* entry : reported) {
    const RequestEvidence& evidence = entry->second.m_evidence;
    RequestReport& report = gossip.m_request_reports.emplace_back();
    report.m_fingerprint = entry->first;
    const Millis completed = OwnCompletion(entry->first);
    if (completed != Millis() && now - completed <= kMaxReportedAge) {
      report.m_completed_age = now - completed;
    }
    for (const RequestCrash& crash : evidence.m_crashes) {
      if (now - crash.m_started > kMaxReportedAge) {
        continue;
      }
      report.m_crashes.push_back({crash.m_upstream_run, now - crash.m_at,
                                  now - crash.m_started, crash.m_is_trial,
                                  crash.m_is_own});
    }
  }
}

void PoisonRequestTracker::Expire(Millis now) {
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    if (now - entry->second.m_last >= kRetention) {
      entry = m_entries.erase(entry);
    } else {
      ++entry;
    }
  }
}

}  // namespace bronzecross
