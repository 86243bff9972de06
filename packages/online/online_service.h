// Serves completions and the routes to services that the manifest declares.

#ifndef BRONZECROSS_ONLINE_ONLINE_SERVICE_H_
#define BRONZECROSS_ONLINE_ONLINE_SERVICE_H_

#include <atomic>
#include <functional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "config/config_holder.h"
#include "http/http_client.h"
#include "http/http_message.h"
#include "limits/limiter.h"
#include "online/attempts.h"
#include "online/authenticator.h"
#include "receipts/receipt_service.h"
#include "upstreams/poison_request_guard.h"
#include "upstreams/upstream_registry.h"

namespace bronzecross {

class OnlineService {
 public:
  OnlineService(ConfigHolder& config,
                Limiter& limiter,
                UpstreamRegistry& upstreams,
                PoisonRequestGuard& poison_requests,
                HttpClient& http,
                KeyGuard& keys,
                const OnlineOptions& options);

  // Runs requests with an Idempotency-Key through `receipts`. Call before the
  // first request arrives.
  void UseReceipts(ReceiptService& receipts);

  // Ends the requests that arrive from now on at `drain_end`, a time of
  // MonotonicNow(), and rejects those that arrive later. May be called from any
  // thread.
  void SetDrainEnd(Millis drain_end);

  // Handles POST /v1/chat/completions and /v1/completions.
  HttpReply Complete(const HttpRequest& request);
  // Handles GET /v1/models.
  HttpReply ListModels(const HttpRequest& request);
  // Handles a path that the manifest declares as a route.
  HttpReply CallService(const HttpRequest& request);

 private:
  // Sets the plan's deadline from the request's timeout header and the end of
  // the drain.
  Status SetDeadline(AttemptPlan& plan, Millis max_timeout) const;

  struct Admitted {
    Caller m_caller;
    Admission m_admission;
  };

  // Authenticates the caller and takes one rate limit token of its workspace.
  Result<Admitted> AdmitCaller(const HttpRequest& request,
                               const ConfigSnapshot& config);
  HttpReply CompleteAdmitted(const HttpRequest& request,
                             const ConfigSnapshot& config,
                             Caller caller);
  // Runs an admitted request: through the receipt service, which runs it once
  // across all VMs, if it has an Idempotency-Key and a workspace, otherwise
  // with `send`.
  HttpReply RunAdmitted(AttemptPlan plan,
                        const std::function<HttpReply(AttemptPlan)>& send);
  // Sends a request that this or another VM admitted for `workspace`.
  HttpReply SendForReceipt(const std::string& workspace,
                           const HttpRequest& request);
  HttpReply CompletePlain(AttemptPlan plan);
  HttpReply CompleteStream(AttemptPlan plan, nlohmann::json body);

  ConfigHolder& m_config;
  Limiter& m_limiter;
  KeyGuard& m_keys;
  AttemptContext m_context;
  ReceiptService* m_receipts = nullptr;
  std::atomic<int64_t> m_drain_end_ms = 0;  // 0: no drain has started
};

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_ONLINE_SERVICE_H_
