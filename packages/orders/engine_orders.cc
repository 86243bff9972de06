#include "orders/engine_orders.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr int kConflictStatus = 409;

Status SendOrder(HttpClient& http,
                 std::string_view url,
                 const json& order,
                 Millis timeout) {
  const std::string body = order.dump();
  HttpCall call;
  call.m_method = "POST";
  call.m_url = absl::StrCat(std::string(url), "/orders");
  call.m_headers = {{"Content-Type", "application/json"}};
  call.m_body = body;
  call.m_connect_timeout = timeout;
  call.m_timeout = timeout;
  // On a reused connection the HTTP client might resend the order by itself.
  call.m_fresh_connection = true;
  const Result<HttpAnswer> response = http.Call(call);
  if (!response) {
    return tl::unexpected<Error>(response.error());
  }
  if (response->m_status == kConflictStatus) {
    return Fail(ResultCode::kFenced,
                "the engine has seen a newer fencing token");
  }
  if (response->m_status != 200) {
    return FailMayHaveRun(
        ResultCode::kUpstreamFailed,
        absl::StrCat("the engine returned status ", response->m_status));
  }
  return {};
}

}  // namespace

Status SendLoadOrder(HttpClient& http,
                     std::string_view url,
                     const OrderIssuer& issuer,
                     const ModelLoad& load,
                     Millis timeout) {
  return SendOrder(http, url,
                   {{"action", "load"},
                    {"model", load.m_model},
                    {"version", load.m_version},
                    {"issuer", issuer.m_name},
                    {"fencing_token", issuer.m_fencing_token}},
                   timeout);
}

Status SendFenceOrder(HttpClient& http,
                      std::string_view url,
                      const OrderIssuer& issuer,
                      Millis timeout) {
  return SendOrder(http, url,
                   {{"action", "fence"},
                    {"issuer", issuer.m_name},
                    {"fencing_token", issuer.m_fencing_token}},
                   timeout);
}

ReplicaState ReadReplica(HttpClient& http,
                         std::string_view upstream,
                         std::string_view url,
                         Millis timeout) {
  ReplicaState state;
  state.m_upstream = upstream;
  HttpCall call;
  call.m_url = absl::StrCat(std::string(url), "/orders");
  call.m_connect_timeout = timeout;
  call.m_timeout = timeout;
  const Result<HttpAnswer> response = http.Call(call);
  if (!response || response->m_status != 200) {
    return state;
  }
  const json report = json::parse(response->m_body, nullptr, false);
  try {
    report.at("model").get_to(state.m_model);
    report.at("version").get_to(state.m_version);
    report.at("loading").get_to(state.m_loading);
    state.m_reachable = true;
  } catch (const json::exception&) {
    state.m_reachable = false;
  }
  return state;
}

}  // namespace bronzecross
