// State shared by all online requests of a VM: queues, retry budget, options.

#ifndef BRONZECROSS_ONLINE_ATTEMPT_CONTEXT_H_
#define BRONZECROSS_ONLINE_ATTEMPT_CONTEXT_H_

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

// How rejections and failures of upstreams are handled. docs/throttle.md has
// the measurements behind the defaults.
struct ThrottleOptions {
  RetryAfterPolicy m_retry_after = RetryAfterPolicy::kWhenFull;
  // Sends no requests for a model to an upstream that recently answered 404.
  bool m_cache_refusals = true;
  // Counts every 5xx as a failure for the circuit breaker, not only lost
  // connections and timeouts.
  bool m_count_every_5xx = true;
};

struct OnlineOptions {
  // Sent to upstreams in the Via header.
  std::string m_vm_id;
  Millis m_request_timeout{60'000};
  // Maximum number of waiting requests per workspace in each queue.
  size_t m_max_queue = 256;
  bool m_prefix_routing = true;
  ThrottleOptions m_throttle;
};

// Thread-safe.
class AttemptContext {
 public:
  AttemptContext(UpstreamRegistry& upstreams,
                 HttpClient& http,
                 PoisonRequestGuard& poison_requests,
                 const OnlineOptions& options)
      : m_upstreams(upstreams),
        m_http(http),
        m_poison_requests(poison_requests),
        m_options(options) {}

  UpstreamRegistry& Upstreams() { return m_upstreams; }
  HttpClient& Http() { return m_http; }
  PoisonRequestGuard& PoisonRequests() { return m_poison_requests; }
  const OnlineOptions& Options() const { return m_options; }

  // Returns the queue of requests for one model or service.
  FairQueue& QueueOf(const std::string& pool);

  // Records one request in the retry budget.
  void CountRequest();
  // Takes one retry from the budget. Returns false if the budget is used up.
  bool TakeRetry();

 private:
  UpstreamRegistry& m_upstreams;
  HttpClient& m_http;
  PoisonRequestGuard& m_poison_requests;
  const OnlineOptions m_options;
  absl::Mutex m_mutex;
  RetryBudget m_budget ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, std::unique_ptr<FairQueue>> m_queues
      ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_ATTEMPT_CONTEXT_H_
