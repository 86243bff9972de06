// Charges requests that were running when an engine died, over all VMs.

#ifndef BRONZECROSS_UPSTREAMS_CRASH_GUARD_H_
#define BRONZECROSS_UPSTREAMS_CRASH_GUARD_H_

#include <map>
#include <string>
#include <string_view>

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include "http/http_client.h"
#include "membership/membership.h"
#include "routing/crash_tracker.h"

namespace bronzecross {

// The fingerprint of a request: its workspace and its body with sorted names.
uint64_t RequestFingerprint(std::string_view workspace,
                            const nlohmann::json& body);

// Thread-safe.
class CrashGuard {
 public:
  CrashGuard(Membership& membership, HttpClient& http);
  CrashGuard(const CrashGuard&) = delete;
  CrashGuard& operator=(const CrashGuard&) = delete;

  CrashCount Total(uint64_t fingerprint);

  // Whether the engine at `url`, which lost a connection, fails its health
  // check. Takes up to 200 ms while the engine still answers.
  bool IsDead(const std::string& url);

  // Charges a death of `upstream`; `alone` if no other request ran there.
  void Charge(uint64_t fingerprint, std::string_view upstream, bool alone);

  // Drops the charges of a request that completed.
  void Clear(uint64_t fingerprint);

 private:
  nlohmann::json MakeSection();
  void TakeSection(const std::string& from, const nlohmann::json& section);

  Membership& m_membership;
  HttpClient& m_http;
  absl::Mutex m_mutex;
  CrashTracker m_book ABSL_GUARDED_BY(m_mutex);
  // Fingerprints cleared here, and when, to tell the other VMs.
  std::map<uint64_t, Millis> m_cleared ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_UPSTREAMS_CRASH_GUARD_H_
