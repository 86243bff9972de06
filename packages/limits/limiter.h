// Admits requests within their workspace's rate and burst.
//
// Each VM holds an equal static share of every workspace's rate and burst.

#ifndef BRONZECROSS_LIMITS_LIMITER_H_
#define BRONZECROSS_LIMITS_LIMITER_H_

#include <map>
#include <string>

#include <absl/synchronization/mutex.h>

#include "base/error.h"
#include "config/manifest.h"
#include "limits/token_bucket.h"
#include "membership/membership.h"

namespace bronzecross {

class Limiter {
 public:
  explicit Limiter(Membership& membership) : m_membership(membership) {}

  // Takes one token of `workspace`. Fails with kRateLimited (not run) and the
  // time after which a retry can succeed. Thread-safe.
  Status Admit(const WorkspaceSpec& workspace);

 private:
  Membership& m_membership;
  // Buckets are empty at this VM's start: an earlier run of it may have spent
  // all tokens.
  const Millis m_started = MonotonicNow();
  absl::Mutex m_mutex;
  std::map<std::string, TokenBucket> m_buckets ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_LIMITER_H_
