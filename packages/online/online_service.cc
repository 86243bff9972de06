#include "online/online_service.h"

#include <algorithm>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "http/http_error_reply.h"
#include "online/stream_check.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr size_t kMaxAttempts = 3;
constexpr int kServerError = 500;

// Headers that concern one connection, or the caller's key, and are not passed
// on.
bool IsHopHeader(std::string_view name) {
  constexpr std::string_view kHop[] = {"authorization",
                                       "connection",
                                       "content-length",
                                       "expect",
                                       "host",
                                       "keep-alive",
                                       "te",
                                       "trailer",
                                       "transfer-encoding",
                                       "upgrade",
                                       "proxy-authorization"};
  return std::any_of(std::begin(kHop), std::end(kHop),
                     [name](std::string_view hop) {
                       return absl::EqualsIgnoreCase(
                           absl::string_view(hop.data(), hop.size()),
                           absl::string_view(name.data(), name.size()));
                     });
}

std::vector<HttpHeader> PassedHeaders(std::span<const HttpHeader> headers) {
  std::vector<HttpHeader> passed;
  for (const HttpHeader& header : headers) {
    if (!IsHopHeader(header.m_name)) {
      passed.push_back(header);
    }
  }
  return passed;
}

HttpReply PassAnswer(HttpAnswer answer) {
  HttpReply reply;
  reply.m_status = answer.m_status;
  reply.m_headers = PassedHeaders(answer.m_headers);
  reply.m_body = std::move(answer.m_body);
  return reply;
}

HttpCall MakeCall(const HttpRequest& request,
                  const PickedUpstream& upstream,
                  Millis timeout) {
  HttpCall call;
  call.m_method = request.m_method;
  call.m_url = absl::StrCat(upstream.m_url, request.m_path);
  call.m_headers = PassedHeaders(request.m_headers);
  call.m_body = request.m_body;
  call.m_timeout = timeout;
  call.m_watch_fd = request.m_client_fd;
  return call;
}

// Whether the upstream is to blame for `error`.
bool IsUpstreamFault(const Error& error) {
  return error.m_code != ResultCode::kCancelled;
}

// Whether `reply` is a refusal of a request that did not run.
bool IsNotRun(const HttpReply& reply) {
  return FindHeader(reply.m_headers, kRunHeader) ==
         RunStateName(RunState::kNotRun);
}

std::string ErrorEvent(const Error& error) {
  return absl::StrCat("event: error\ndata: ", ErrorBody(error), "\n\n");
}

}  // namespace

OnlineService::OnlineService(ConfigHolder& config,
                             Limiter& limiter,
                             UpstreamRegistry& upstreams,
                             HttpClient& http,
                             Millis request_timeout)
    : m_config(config),
      m_limiter(limiter),
      m_upstreams(upstreams),
      m_http(http),
      m_request_timeout(request_timeout) {}

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
  // Before the body is parsed, so that refusals over the limit are cheap.
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
  const json body = json::parse(request.m_body, nullptr, false);
  if (body.is_discarded() || !body.is_object() || !body.contains("model") ||
      !body["model"].is_string()) {
    return ErrorReply(
        Fail(ResultCode::kMalformedBody,
             "the body must be a JSON object with a string \"model\"")
            .value());
  }
  const std::string model = body["model"];
  if (config.FindModel(model) == nullptr) {
    return ErrorReply(Fail(ResultCode::kUnknownModel,
                           absl::StrCat("there is no model \"", model, "\""))
                          .value());
  }
  const bool stream =
      body.contains("stream") && body["stream"].is_boolean() && body["stream"];
  CountMetric("bronzecross_online_requests_total",
              {{"workspace", caller.m_workspace}});
  return stream ? CompleteStream(request, model, std::move(caller))
                : CompletePlain(request, model);
}

HttpReply OnlineService::CompletePlain(const HttpRequest& request,
                                       std::string_view model) {
  const std::string id = RandomId();
  const Millis deadline = MonotonicNow() + m_request_timeout;
  std::vector<std::string> failed;
  Error last{ResultCode::kNoUpstream, "no upstream could serve the request"};
  while (failed.size() < kMaxAttempts && MonotonicNow() < deadline) {
    const Result<PickedUpstream> upstream =
        m_upstreams.Pick({model, "", failed}, id);
    if (!upstream) {
      return ErrorReply(failed.empty() ? upstream.error() : last);
    }
    Result<HttpAnswer> answer =
        m_http.Call(MakeCall(request, *upstream, deadline - MonotonicNow()));
    if (answer && answer->m_status < kServerError) {
      m_upstreams.ReportOutcome(upstream->m_name, false);
      return PassAnswer(std::move(*answer));
    }
    last = answer
               ? Error{ResultCode::kUpstreamFailed,
                       absl::StrCat("the upstream answered ", answer->m_status),
                       RunState::kUnknown}
               : answer.error();
    if (!IsUpstreamFault(last)) {
      break;
    }
    m_upstreams.ReportOutcome(upstream->m_name, true);
    failed.push_back(upstream->m_name);
  }
  return ErrorReply(last);
}

HttpReply OnlineService::CompleteStream(const HttpRequest& request,
                                        std::string_view model,
                                        Caller caller) {
  const std::string id = RandomId();
  const Millis deadline = MonotonicNow() + m_request_timeout;
  std::vector<std::string> failed;
  Error last{ResultCode::kNoUpstream, "no upstream could serve the request"};
  while (failed.size() < kMaxAttempts && MonotonicNow() < deadline) {
    Result<PickedUpstream> upstream = m_upstreams.Pick({model, "", failed}, id);
    if (!upstream) {
      return ErrorReply(failed.empty() ? upstream.error() : last);
    }
    Result<std::unique_ptr<HttpStream>> opened =
        m_http.Open(MakeCall(request, *upstream, deadline - MonotonicNow()));
    if (!opened || (*opened)->HttpStatus() >= kServerError) {
      last = opened ? Error{ResultCode::kUpstreamFailed,
                            "the upstream answered with an error",
                            RunState::kUnknown}
                    : opened.error();
      if (!IsUpstreamFault(last)) {
        break;
      }
      m_upstreams.ReportOutcome(upstream->m_name, true);
      failed.push_back(upstream->m_name);
      continue;
    }
    struct Flow {
      std::unique_ptr<HttpStream> m_stream;
      PickedUpstream m_upstream;
      Caller m_caller;
      StreamCheck m_check;
      std::string m_pending;
      bool m_cut = false;
    };
    const std::shared_ptr<Flow> flow = std::make_shared<Flow>();
    flow->m_stream = std::move(*opened);
    flow->m_upstream = std::move(*upstream);
    flow->m_caller = std::move(caller);
    HttpReply reply;
    reply.m_status = flow->m_stream->HttpStatus();
    reply.m_headers = PassedHeaders(flow->m_stream->Headers());
    reply.m_reader = [this, flow](std::span<char> buffer) -> Result<size_t> {
      if (flow->m_pending.empty() && !flow->m_cut) {
        Result<std::string> piece = flow->m_stream->ReadSome();
        if (piece && !IsKeyInForce(flow->m_caller, *m_config.Get())) {
          piece =
              FailMayHaveRun(ResultCode::kInvalidKey, "the key was withdrawn");
        }
        if (piece && piece->empty() && !flow->m_check.m_done &&
            flow->m_stream->HttpStatus() == 200) {
          piece = FailMayHaveRun(ResultCode::kStreamCut,
                                 "the upstream's stream ended early");
        }
        if (piece) {
          FollowStream(flow->m_check, *piece);
          flow->m_pending = std::move(*piece);
        } else {
          flow->m_cut = true;
          flow->m_pending = ErrorEvent(piece.error());
        }
        if (piece && flow->m_pending.empty()) {
          m_upstreams.ReportOutcome(flow->m_upstream.m_name, false);
          return 0;
        }
      }
      if (flow->m_pending.empty()) {
        m_upstreams.ReportOutcome(flow->m_upstream.m_name, true);
        return Fail(ResultCode::kStreamCut, "the stream was cut");
      }
      const size_t count = std::min(buffer.size(), flow->m_pending.size());
      std::copy_n(flow->m_pending.begin(), count, buffer.begin());
      flow->m_pending.erase(0, count);
      return count;
    };
    return reply;
  }
  return ErrorReply(last);
}

HttpReply OnlineService::CallService(const HttpRequest& request) {
  const std::shared_ptr<const ConfigSnapshot> config = m_config.Get();
  const RouteSpec* route = config->FindRoute(request.m_path);
  if (route == nullptr) {
    return ErrorReply(
        Fail(ResultCode::kUnknownRoute,
             absl::StrCat("there is no route for ", request.m_path))
            .value());
  }
  if (std::find(route->m_methods.begin(), route->m_methods.end(),
                request.m_method) == route->m_methods.end()) {
    return ErrorReply(
        Fail(ResultCode::kMethodNotAllowed,
             absl::StrCat("the route does not take ", request.m_method))
            .value());
  }
  if (route->m_open) {
    return ForwardToService(request, *route);
  }
  Result<Admitted> admitted = AdmitCaller(request, *config);
  if (!admitted) {
    return ErrorReply(admitted.error());
  }
  HttpReply reply = ForwardToService(request, *route);
  if (IsNotRun(reply)) {
    admitted->m_admission.GiveBack();
  }
  return reply;
}

HttpReply OnlineService::ForwardToService(const HttpRequest& request,
                                          const RouteSpec& route) {
  const std::string id = RandomId();
  const Millis deadline = MonotonicNow() + Millis(route.m_timeout_ms);
  std::vector<std::string> failed;
  Error last{ResultCode::kNoUpstream, "no upstream could serve the request"};
  while (failed.size() < kMaxAttempts && MonotonicNow() < deadline) {
    const Result<PickedUpstream> upstream =
        m_upstreams.Pick({"", route.m_service, failed}, id);
    if (!upstream) {
      return ErrorReply(failed.empty() ? upstream.error() : last);
    }
    HttpCall call = MakeCall(request, *upstream, deadline - MonotonicNow());
    call.m_fresh_connection = !route.m_idempotent;
    Result<HttpAnswer> answer = m_http.Call(call);
    const bool server_error = answer && answer->m_status >= kServerError;
    m_upstreams.ReportOutcome(upstream->m_name, !answer || server_error);
    if (answer && (!server_error || !route.m_idempotent)) {
      return PassAnswer(std::move(*answer));
    }
    last = answer
               ? Error{ResultCode::kUpstreamFailed,
                       absl::StrCat("the upstream answered ", answer->m_status),
                       RunState::kUnknown}
               : answer.error();
    // A non-idempotent request goes elsewhere only if no byte of it was sent.
    if (!IsUpstreamFault(last) ||
        (!route.m_idempotent && last.m_run == RunState::kUnknown)) {
      break;
    }
    failed.push_back(upstream->m_name);
  }
  return ErrorReply(last);
}

}  // namespace bronzecross
