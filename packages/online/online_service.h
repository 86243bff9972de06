// Serves chat completions and the declared routes to plain services.

#ifndef BRONZECROSS_ONLINE_ONLINE_SERVICE_H_
#define BRONZECROSS_ONLINE_ONLINE_SERVICE_H_

#include <string>

#include "config/config_holder.h"
#include "http/http_client.h"
#include "http/http_message.h"
#include "limits/limiter.h"
#include "online/authenticator.h"
#include "receipts/receipt_service.h"
#include "upstreams/upstream_registry.h"

namespace bronzecross {

class OnlineService {
 public:
  OnlineService(ConfigHolder& config,
                Limiter& limiter,
                UpstreamRegistry& upstreams,
                HttpClient& http,
                Millis request_timeout);

  // From now on requests with an Idempotency-Key go through `receipts`. Call
  // before requests arrive.
  void UseReceipts(ReceiptService& receipts);

  // POST /v1/chat/completions and /v1/completions.
  HttpReply Complete(const HttpRequest& request);
  // GET /v1/models.
  HttpReply ListModels(const HttpRequest& request);
  // A path that the manifest declares as a route.
  HttpReply CallService(const HttpRequest& request);

 private:
  // How an admitted request is sent: its workspace, and what its route says.
  struct Sending {
    Caller m_caller;
    bool m_idempotent = true;
    Millis m_timeout;
  };

  // Runs an admitted request: once over all VMs if it has an Idempotency-Key
  // and a workspace, by `send` otherwise.
  HttpReply RunAdmitted(const HttpRequest& request,
                        Sending sending,
                        const std::function<HttpReply()>& send);
  // Sends a request that this or another VM admitted to an upstream.
  HttpReply SendForReceipt(const HttpRequest& request);
  HttpReply SendToService(const HttpRequest& request, const RouteSpec& route);
  // Finds the caller and takes one token of its workspace.
  Result<Caller> AdmitCaller(const HttpRequest& request,
                             const ConfigSnapshot& config);
  HttpReply CompletePlain(const HttpRequest& request, std::string_view model);
  HttpReply CompleteStream(const HttpRequest& request,
                           std::string_view model,
                           Caller caller);

  ConfigHolder& m_config;
  Limiter& m_limiter;
  UpstreamRegistry& m_upstreams;
  HttpClient& m_http;
  const Millis m_request_timeout;
  ReceiptService* m_receipts = nullptr;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_ONLINE_SERVICE_H_
