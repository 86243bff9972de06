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
  // An order must not be sent a second time behind this VM's back.
  call.m_fresh_connection = true;
  const Result<HttpAnswer> answer = http.Call(call);
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  if (answer->m_status == kConflictStatus) {
    return Fail(ResultCode::kFenced, "the engine knows a newer fencing token");
  }
  if (answer->m_status != 200) {
    return FailMayHaveRun(
        ResultCode::kUpstreamFailed,
        absl::StrCat("the engine answered ", answer->m_status));
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
  const Result<HttpAnswer> answer = http.Call(call);
  if (!answer || answer->m_status != 200) {
    return state;
  }
  const json report = json::parse(answer->m_body, nullptr, false);
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
