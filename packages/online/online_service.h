// Serves chat completions and the declared routes to plain services.

#ifndef BRONZECROSS_ONLINE_ONLINE_SERVICE_H_
#define BRONZECROSS_ONLINE_ONLINE_SERVICE_H_

#include <string>

#include "config/config_holder.h"
#include "http/http_client.h"
#include "http/http_message.h"
#include "limits/limiter.h"
#include "online/authenticator.h"
#include "upstreams/upstream_registry.h"

namespace bronzecross {

class OnlineService {
 public:
  OnlineService(ConfigHolder& config,
                Limiter& limiter,
                UpstreamRegistry& upstreams,
                HttpClient& http,
                Millis request_timeout);

  // POST /v1/chat/completions and /v1/completions.
  HttpReply Complete(const HttpRequest& request);
  // GET /v1/models.
  HttpReply ListModels(const HttpRequest& request);
  // A path that the manifest declares as a route.
  HttpReply CallService(const HttpRequest& request);

 private:
  struct Admitted {
    Caller m_caller;
    Admission m_admission;
  };

  // Finds the caller and takes one token of its workspace.
  Result<Admitted> AdmitCaller(const HttpRequest& request,
                               const ConfigSnapshot& config);
  HttpReply CompleteAdmitted(const HttpRequest& request,
                             const ConfigSnapshot& config,
                             Caller caller);
  HttpReply ForwardToService(const HttpRequest& request,
                             const RouteSpec& route);
  HttpReply CompletePlain(const HttpRequest& request, std::string_view model);
  HttpReply CompleteStream(const HttpRequest& request,
                           std::string_view model,
                           Caller caller);

  ConfigHolder& m_config;
  Limiter& m_limiter;
  UpstreamRegistry& m_upstreams;
  HttpClient& m_http;
  const Millis m_request_timeout;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_ONLINE_SERVICE_H_
