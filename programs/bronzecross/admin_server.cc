#include "admin_server.h"

#include "base/metrics.h"
#include "http/http_error_reply.h"

namespace bronzecross {
namespace {

HttpReply TextReply(int status, std::string text) {
  HttpReply reply;
  reply.m_status = status;
  reply.m_headers.push_back({"Content-Type", "text/plain"});
  reply.m_body = std::move(text);
  return reply;
}

HttpReply HandleAdmin(const AdminSources& sources, const HttpRequest& request) {
  if (request.m_path == "/healthz") {
    return TextReply(200, "ok\n");
  }
  if (request.m_path == "/readyz") {
    const bool ready = sources.m_is_ready();
    return TextReply(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  }
  if (request.m_path == "/metrics") {
    return TextReply(200, SerializeMetrics());
  }
  if (request.m_path == "/status") {
    return JsonReply(200, sources.m_status().dump());
  }
  return ErrorReply(Fail(ResultCode::kNotFound, "no such page").value());
}

}  // namespace

HttpHandlers MakeAdminHandlers(AdminSources sources) {
  return HttpHandlers{
      [](HttpRequest&) {
        return BodyPlan{4096, nullptr, std::nullopt};
      },
      [sources = std::move(sources)](HttpRequest& request, const Status&) {
        return HandleAdmin(sources, request);
      }};
}

}  // namespace bronzecross
