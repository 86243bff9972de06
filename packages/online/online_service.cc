#include "online/online_service.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "base/metrics.h"
#include "base/random.h"
#include "http/http_error_reply.h"
#include "online/completion_stream.h"
#include "online/proxy_headers.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr int kOkStatus = 200;

HttpReply ToReply(HttpAnswer response) {
  HttpReply reply;
  reply.m_status = response.m_status;
  reply.m_headers = std::move(response.m_headers);
  reply.m_body = std::move(response.m_body);
  return reply;
}

HttpReply RejectionReply(ResultCode code, std::string_view message) {
  return ErrorReply(Fail(code, message).value());
}

// Returns the concatenated prompt texts, in the order in which an engine's
// prefix cache sees them.
std::string PromptText(const json& body) {
  const auto prompt = body.find("prompt");
  if (prompt != body.end() && prompt->is_string()) {
    return prompt->get<std::string>();
  }
  std::string text;
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array()) {
    return text;
  }
  for (const json& message : *messages) {
    if (message.is_object() && message.contains("content") &&
        message["content"].is_string()) {
      text += message["content"].get_ref<const std::string&>();
    }
  }
  return text;
}

// Parses the body of a completion request. Fails with kMalformedBody or
// kUnknownModel.
Result<json> ParseCompletion(const HttpRequest& request,
                             const ConfigSnapshot& config) {
  json body = json::parse(request.m_body, nullptr, false);
  if (body.is_discarded() || !body.is_object() || !body.contains("model") ||
      !body["model"].is_string()) {
    return Fail(ResultCode::kMalformedBody,
                "the body must be a JSON object with a string \"model\"");
  }
  const std::string model = body["model"];
  if (config.FindModel(model) == nullptr) {
    return Fail(ResultCode::kUnknownModel,
                absl::StrCat("there is no model \"", model, "\""));
  }
  return body;
}

// Sets the model, the prompt prefixes and the fingerprint from the body.
void FillCompletionPlan(AttemptPlan& plan,
                        const json& body,
                        bool prefix_routing) {
  plan.m_id = RandomId();
  plan.m_model = body["model"];
  if (prefix_routing) {
    plan.m_prefixes = PrefixHashes(PromptText(body));
  }
  plan.m_fingerprint = RequestFingerprint(plan.m_workspace, body);
}

void FillServicePlan(AttemptPlan& plan, const RouteSpec& route) {
  plan.m_id = RandomId();
  plan.m_service = route.m_service;
  plan.m_idempotent = route.m_idempotent;
}

bool IsCompletionPath(std::string_view path) {
  return path == "/v1/chat/completions" || path == "/v1/completions";
}

bool WantsStream(const json& body) {
  return body.contains("stream") && body["stream"].is_boolean() &&
         body["stream"];
}

// Returns whether `reply` says that the request was not run.
bool IsNotRun(const HttpReply& reply) {
  return FindHeader(reply.m_headers, kRunHeader) ==
         RunStateName(RunState::kNotRun);
}

}  // namespace

OnlineService::OnlineService(ConfigHolder& config,
                             Limiter& limiter,
                             UpstreamRegistry& upstreams,
                             PoisonRequestGuard& poison_requests,
                             HttpClient& http,
                             KeyGuard& keys,
                             const OnlineOptions& options)
    : m_config(config),
      m_limiter(limiter),
      m_keys(keys),
      m_context(upstreams, http, poison_requests, options) {}

void OnlineService::SetDrainEnd(Millis drain_end) {
  m_drain_end_ms = drain_end.count();
}

Status OnlineService::SetDeadline(AttemptPlan& plan, Millis max_timeout) const {
  const Result<Millis> allowed = RequestTimeout(*plan.m_request, max_timeout);
  if (!allowed) {
    return tl::unexpected<Error>(allowed.error());
  }
  const Millis now = MonotonicNow();
  const Millis drain_end(m_drain_end_ms);
  if (drain_end != Millis() && now >= drain_end) {
    return Fail(ResultCode::kDraining, "the VM is stopping");
  }
  plan.m_deadline = now + *allowed;
  plan.m_short_deadline = *allowed < max_timeout;
  if (drain_end != Millis() && drain_end < plan.m_deadline) {
    plan.m_deadline = drain_end;
    plan.m_short_deadline = true;
  }
  return {};
}

Result<OnlineService::Admitted> OnlineService::AdmitCaller(
    const HttpRequest& request,
    const ConfigSnapshot& config) {
  Result<Caller> caller = Authenticate(request, config);
  if (!caller) {
    return tl::unexpected<Error>(caller.error());
  }
  const WorkspaceSpec* workspace = config.FindWorkspace(caller->m_workspace);
  if (workspace == nullptr) {
    return Fail(ResultCode::kInvalidKey, "the key's workspace does not exist");
  }
  Result<Admission> admission = m_limiter.Admit(*workspace);
  if (!admission) {
    return tl::unexpected<Error>(admission.error());
  }
  return Admitted{std::move(*caller), std::move(*admission)};
}

HttpReply OnlineService::ListModels(const HttpRequest& request) {
  const std::shared_ptr<const ConfigSnapshot> config = m_config.Get();
  const Result<Caller> caller = Authenticate(request, *config);
  if (!caller) {
    return ErrorReply(caller.error());
  }
  json models = json::array();
  for (const ModelSpec& model : config->GetManifest().m_models) {
    models.push_back({{"id", model.m_name},
                      {"object", "model"},
                      {"created", 0},
                      {"owned_by", "bronzecross"}});
  }
  return JsonReply(200, json{{"object", "list"}, {"data", models}}.dump());
}

HttpReply OnlineService::Complete(const HttpRequest& request) {
  const std::shared_ptr<const ConfigSnapshot> config = m_config.Get();
  // Done before the body is parsed, so that rejecting requests over the rate
  // limit is cheap.
  Result<Admitted> admitted = AdmitCaller(request, *config);
  if (!admitted) {
    return ErrorReply(admitted.error());
  }
  HttpReply reply =
      CompleteAdmitted(request, *config, std::move(admitted->m_caller));
  if (IsNotRun(reply)) {
    admitted->m_admission.GiveBack();
  }
  return reply;
}

HttpReply OnlineService::CompleteAdmitted(const HttpRequest& request,
                                          const ConfigSnapshot& config,
                                          Caller caller) {
  Result<json> body = ParseCompletion(request, config);
  if (!body) {
    return ErrorReply(body.error());
  }
  AttemptPlan plan;
  plan.m_request = &request;
  const Status deadline =
      SetDeadline(plan, m_context.Options().m_request_timeout);
  if (!deadline) {
    return ErrorReply(deadline.error());
  }
  CountMetric("bronzecross_online_requests_total",
              {{"workspace", caller.m_workspace}});
  plan.m_workspace = caller.m_workspace;
  FillCompletionPlan(plan, *body, m_context.Options().m_prefix_routing);
  plan.m_guarded_call = m_keys.Watch(std::move(caller));
  return RunAdmitted(std::move(plan), [&](AttemptPlan admitted_plan) {
    return WantsStream(*body)
               ? CompleteStream(std::move(admitted_plan), std::move(*body))
               : CompletePlain(std::move(admitted_plan));
  });
}

void OnlineService::UseReceipts(ReceiptService& receipts) {
  m_receipts = &receipts;
  receipts.SetExecutor(
      [this](const std::string& workspace, const HttpRequest& request) {
        return SendForReceipt(workspace, request);
      });
}

HttpReply OnlineService::RunAdmitted(
    AttemptPlan plan,
    const std::function<HttpReply(AttemptPlan)>& send) {
  const std::string_view key =
      FindHeader(plan.m_request->m_headers, "Idempotency-Key");
  if (m_receipts == nullptr || key.empty() || plan.m_workspace.empty()) {
    return send(std::move(plan));
  }
  return m_receipts->Run(plan.m_workspace, key, plan.m_idempotent,
                         *plan.m_request, plan.m_deadline - MonotonicNow());
}

HttpReply OnlineService::SendForReceipt(const std::string& workspace,
                                        const HttpRequest& request) {
  const std::shared_ptr<const ConfigSnapshot> config = m_config.Get();
  AttemptPlan plan;
  plan.m_request = &request;
  plan.m_workspace = workspace;
  if (!IsCompletionPath(request.m_path)) {
    const RouteSpec* route = config->FindRoute(request.m_path);
    if (route == nullptr) {
      return RejectionReply(ResultCode::kUnknownRoute,
                            "the route was removed from the manifest");
    }
    const Status deadline = SetDeadline(plan, Millis(route->m_timeout_ms));
    if (!deadline) {
      return ErrorReply(deadline.error());
    }
    FillServicePlan(plan, *route);
    return CompletePlain(std::move(plan));
  }
  Result<json> body = ParseCompletion(request, *config);
  if (!body) {
    return ErrorReply(body.error());
  }
  const Status deadline =
      SetDeadline(plan, m_context.Options().m_request_timeout);
  if (!deadline) {
    return ErrorReply(deadline.error());
  }
  FillCompletionPlan(plan, *body, m_context.Options().m_prefix_routing);
  return WantsStream(*body) ? CompleteStream(std::move(plan), std::move(*body))
                            : CompletePlain(std::move(plan));
}

HttpReply OnlineService::CompletePlain(AttemptPlan plan) {
  Result<HttpAnswer> response = Attempts(m_context, std::move(plan)).Run();
  return response ? ToReply(std::move(*response))
                  : ErrorReply(response.error());
}

HttpReply OnlineService::CompleteStream(AttemptPlan plan, json body) {
  Attempts attempts(m_context, std::move(plan));
  Result<Attempt> attempt = attempts.Open();
  if (!attempt) {
    return ErrorReply(attempt.error());
  }
  HttpReply reply;
  reply.m_status = attempt->m_stream->HttpStatus();
  reply.m_headers = EndToEndHeaders(attempt->m_stream->Headers());
  if (reply.m_status != kOkStatus) {
    const std::shared_ptr<Attempt> error_response =
        std::make_shared<Attempt>(std::move(*attempt));
    reply.m_reader = [error_response](std::span<char> buffer) {
      return error_response->m_stream->Read(buffer);
    };
    return reply;
  }
  const std::shared_ptr<CompletionStream> stream =
      std::make_shared<CompletionStream>(std::move(body), std::move(attempts),
                                         std::move(*attempt));
  reply.m_reader = [stream](std::span<char> buffer) {
    return stream->Read(buffer);
  };
  return reply;
}

HttpReply OnlineService::CallService(const HttpRequest& request) {
  const std::shared_ptr<const ConfigSnapshot> config = m_config.Get();
  const RouteSpec* route = config->FindRoute(request.m_path);
  if (route == nullptr) {
    return RejectionReply(
        ResultCode::kUnknownRoute,
        absl::StrCat("there is no route for ", request.m_path));
  }
  if (std::find(route->m_methods.begin(), route->m_methods.end(),
                request.m_method) == route->m_methods.end()) {
    return RejectionReply(
        ResultCode::kMethodNotAllowed,
        absl::StrCat("the route does not accept ", request.m_method));
  }
  AttemptPlan plan;
  plan.m_request = &request;
  const Status deadline = SetDeadline(plan, Millis(route->m_timeout_ms));
  if (!deadline) {
    return ErrorReply(deadline.error());
  }
  FillServicePlan(plan, *route);
  if (route->m_open) {
    return CompletePlain(std::move(plan));
  }
  Result<Admitted> admitted = AdmitCaller(request, *config);
  if (!admitted) {
    return ErrorReply(admitted.error());
  }
  plan.m_workspace = admitted->m_caller.m_workspace;
  plan.m_guarded_call = m_keys.Watch(std::move(admitted->m_caller));
  HttpReply reply =
      RunAdmitted(std::move(plan), [this](AttemptPlan admitted_plan) {
        return CompletePlain(std::move(admitted_plan));
      });
  if (IsNotRun(reply)) {
    admitted->m_admission.GiveBack();
  }
  return reply;
}

}  // namespace bronzecross
