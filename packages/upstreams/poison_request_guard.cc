#include "upstreams/poison_request_guard.h"

#include <array>

#include <absl/strings/str_cat.h>

#include "base/hash.h"
#include "base/log.h"

namespace bronzecross {
namespace {

using nlohmann::json;

// Delays before the health checks. A crashing process may close its connections
// before it stops listening.
constexpr std::array<Millis, 3> kHealthCheckDelays = {Millis(0), Millis(50),
                                                      Millis(150)};
constexpr Millis kHealthCheckTimeout{500};
// How long a cleared fingerprint is published to the other VMs.
constexpr Millis kClearedLifetime{2000};
// Bounds the size of the heartbeat section; engine crashes are rare.
constexpr size_t kMaxPublishedCounts = 64;

}  // namespace

uint64_t RequestFingerprint(std::string_view workspace, const json& body) {
  return Hash64(body.dump(-1, ' ', false, json::error_handler_t::replace),
                Hash64(workspace));
}

PoisonRequestGuard::PoisonRequestGuard(Membership& membership, HttpClient& http)
    : m_membership(membership), m_http(http) {
  m_membership.AddSection(
      "crashes", {[this] { return MakeSection(); },
                  [this](const std::string& from, const json& section) {
                    ApplySection(from, section);
                  }});
}

CrashCount PoisonRequestGuard::CrashCountOf(uint64_t fingerprint) {
  absl::MutexLock lock(&m_mutex);
  return TotalCrashes(m_tracker, fingerprint, MonotonicNow());
}

bool PoisonRequestGuard::IsDead(const std::string& url) {
  HttpCall call;
  call.m_url = absl::StrCat(url, "/health");
  call.m_timeout = kHealthCheckTimeout;
  call.m_connect_timeout = kHealthCheckTimeout;
  call.m_fresh_connection = true;
  for (const Millis delay : kHealthCheckDelays) {
    SleepFor(delay);
    if (!m_http.Call(call)) {
      return true;
    }
  }
  return false;
}

void PoisonRequestGuard::RecordUpstreamCrash(uint64_t fingerprint,
                                             std::string_view upstream,
                                             bool alone) {
  CrashCount total;
  {
    absl::MutexLock lock(&m_mutex);
    const Millis now = MonotonicNow();
    RecordCrash(m_tracker, fingerprint, m_membership.Self().m_id, alone, now);
    m_cleared.erase(fingerprint);
    total = TotalCrashes(m_tracker, fingerprint, now);
  }
  Log(Severity::kWarning, LogPart::kUpstreams, "Charged a crash to a request.",
      {{"upstream", upstream},
       {"fingerprint", Hex64(fingerprint)},
       {"alone", alone ? "yes" : "no"},
       {"deaths", total.m_crash_count},
       {"deaths_alone", total.m_alone}});
}

void PoisonRequestGuard::Clear(uint64_t fingerprint) {
  absl::MutexLock lock(&m_mutex);
  const Millis now = MonotonicNow();
  ClearCrashes(m_tracker, fingerprint, now);
  m_cleared[fingerprint] = now;
}

json PoisonRequestGuard::MakeSection() {
  const std::string& self = m_membership.Self().m_id;
  absl::MutexLock lock(&m_mutex);
  const Millis now = MonotonicNow();
  json counts = json::array();
  for (const auto& [key, count] : m_tracker.m_counts) {
    if (key.second == self && counts.size() < kMaxPublishedCounts) {
      counts.push_back(
          json::array({key.first, count.m_crash_count, count.m_alone,
                       (now - count.m_last).count()}));
    }
  }
  std::erase_if(m_cleared, [now](const auto& entry) {
    return now - entry.second >= kClearedLifetime;
  });
  json cleared = json::array();
  for (const auto& [fingerprint, at] : m_cleared) {
    cleared.push_back(fingerprint);
  }
  return {{"counts", std::move(counts)}, {"cleared", std::move(cleared)}};
}

void PoisonRequestGuard::ApplySection(const std::string& from,
                                      const json& section) {
  absl::MutexLock lock(&m_mutex);
  const Millis now = MonotonicNow();
  std::erase_if(m_tracker.m_counts, [&from](const auto& entry) {
    return entry.first.second == from;
  });
  for (const json& entry : section.at("counts")) {
    m_tracker.m_counts[{entry.at(0).get<uint64_t>(), from}] =
        CrashCount{entry.at(1).get<int64_t>(), entry.at(2).get<int64_t>(),
                   now - Millis(entry.at(3).get<int64_t>())};
  }
  for (const json& fingerprint : section.at("cleared")) {
    ClearCrashes(m_tracker, fingerprint.get<uint64_t>(), now);
  }
}

}  // namespace bronzecross
