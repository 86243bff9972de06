#include "request_router.h"

#include "base/metrics.h"
#include "http/http_error_reply.h"

namespace bronzecross {
namespace {

bool IsUnder(std::string_view path, std::string_view prefix) {
  return path.starts_with(prefix) &&
         (path.size() == prefix.size() || path[prefix.size()] == '/');
}

HttpReply Dispatch(const HttpRequest& request,
                   const Status& body,
                   OnlineService& online,
                   BatchService& batch) {
  const std::string_view path = request.m_path;
  if (path == "/v1/chat/completions" || path == "/v1/completions") {
    return request.m_method == "POST"
               ? online.Complete(request)
               : ErrorReply(
                     Fail(ResultCode::kMethodNotAllowed, "use POST").value());
  }
  if (path == "/v1/models") {
    return online.ListModels(request);
  }
  if (IsUnder(path, "/v1/files") || IsUnder(path, "/v1/batches")) {
    return batch.Handle(request, body);
  }
  return online.CallService(request);
}

}  // namespace

HttpHandlers MakeCallerHandlers(const Settings& settings,
                                OnlineService& online,
                                BatchService& batch) {
  const int64_t max_body = settings.m_max_body_bytes;
  return HttpHandlers{
      [max_body, &batch](HttpRequest& request) {
        if (request.m_method == "POST" && request.m_path == "/v1/files") {
          return batch.PlanUpload(request);
        }
        return BodyPlan{max_body, nullptr, std::nullopt};
      },
      [&online, &batch](HttpRequest& request, const Status& body) {
        const Millis start = MonotonicNow();
        HttpReply reply = Dispatch(request, body, online, batch);
        CountMetric("bronzecross_replies_total",
                    {{"status", std::to_string(reply.m_status)}});
        ObserveSeconds("bronzecross_request_seconds", {},
                       (MonotonicNow() - start).Seconds());
        return reply;
      }};
}

}  // namespace bronzecross
