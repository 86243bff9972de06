// Counts the engine crashes that each request may have caused, over all VMs, to
// detect poison requests.

#ifndef BRONZECROSS_UPSTREAMS_POISON_REQUEST_GUARD_H_
#define BRONZECROSS_UPSTREAMS_POISON_REQUEST_GUARD_H_

#include <map>
#include <string>
#include <string_view>

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include "http/http_client.h"
#include "membership/membership.h"
#include "routing/crash_tracker.h"

namespace bronzecross {

// Returns a hash of the workspace and of the body with its keys sorted.
uint64_t RequestFingerprint(std::string_view workspace,
                            const nlohmann::json& body);

// Shares the counts with the other VMs in a section of the heartbeats.
// Thread-safe.
class PoisonRequestGuard {
 public:
  PoisonRequestGuard(Membership& membership, HttpClient& http);
  PoisonRequestGuard(const PoisonRequestGuard&) = delete;
  PoisonRequestGuard& operator=(const PoisonRequestGuard&) = delete;

  // Returns the crashes recorded for the request on all VMs.
  CrashCount CrashCountOf(uint64_t fingerprint);

  // Returns whether the engine at `url`, which lost a connection, fails to
  // respond to one of several health checks. Takes at least 200 ms if it
  // responds to all.
  bool IsDead(const std::string& url);

  // Records that `upstream` crashed while it ran the request; `alone` if no
  // other request ran there.
  void RecordUpstreamCrash(uint64_t fingerprint,
                           std::string_view upstream,
                           bool alone);

  // Drops the recorded crashes of a request that completed.
  void Clear(uint64_t fingerprint);

 private:
  nlohmann::json MakeSection();
  void ApplySection(const std::string& from, const nlohmann::json& section);

  Membership& m_membership;
  HttpClient& m_http;
  absl::Mutex m_mutex;
  CrashTracker m_tracker ABSL_GUARDED_BY(m_mutex);
  // Fingerprints cleared on this VM and when, published to the other VMs until
  // kClearedLifetime has passed.
  std::map<uint64_t, Millis> m_cleared ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_UPSTREAMS_POISON_REQUEST_GUARD_H_
