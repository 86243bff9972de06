// What all requests of a VM share when they are sent to upstreams.

#ifndef BRONZECROSS_ONLINE_ATTEMPT_SHARED_H_
#define BRONZECROSS_ONLINE_ATTEMPT_SHARED_H_

#include <map>
#include <memory>
#include <string>

#include <absl/synchronization/mutex.h>

#include "config/settings.h"
#include "http/http_client.h"
#include "online/fair_queue.h"
#include "routing/retry_budget.h"
#include "upstreams/poison_request_guard.h"
#include "upstreams/upstream_registry.h"

namespace bronzecross {

// How upstreams that refuse or fail are treated; docs/throttle.md has the
// figures behind the defaults.
struct ThrottleOptions {
  RetryAfterPolicy m_retry_after = RetryAfterPolicy::kWhenFull;
  // Sends no requests for a model to an upstream that lately answered 404.
  bool m_cache_refusals = true;
  // Counts every 5xx for the circuit breaker, not only lost connections and
  // time-outs.
  bool m_count_every_5xx = true;
};

struct OnlineOptions {
  // Named to upstreams in the Via header.
  std::string m_vm_id;
  Millis m_request_timeout{60'000};
  size_t m_max_queue = 256;
  bool m_prefix_routing = true;
  ThrottleOptions m_throttle;
};

// Thread-safe.
class AttemptShared {
 public:
  AttemptShared(UpstreamRegistry& upstreams,
                HttpClient& http,
                PoisonRequestGuard& crashes,
                const OnlineOptions& options)
      : m_upstreams(upstreams),
        m_http(http),
        m_crashes(crashes),
        m_options(options) {}

  UpstreamRegistry& Upstreams() { return m_upstreams; }
  HttpClient& Http() { return m_http; }
  PoisonRequestGuard& Crashes() { return m_crashes; }
  const OnlineOptions& Options() const { return m_options; }

  // The queue of requests for one model or service.
  FairQueue& QueueOf(const std::string& pool);

  void CountRequest();
  // Whether the retry budget has room for one more; takes it.
  bool TakeRetry();

 private:
  UpstreamRegistry& m_upstreams;
  HttpClient& m_http;
  PoisonRequestGuard& m_crashes;
  const OnlineOptions m_options;
  absl::Mutex m_mutex;
  RetryBudget m_budget ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, std::unique_ptr<FairQueue>> m_queues
      ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_ATTEMPT_SHARED_H_
