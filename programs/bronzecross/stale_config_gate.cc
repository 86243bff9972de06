#include "stale_config_gate.h"

#include <optional>

#include "base/metrics.h"
#include "http/http_error_reply.h"

namespace bronzecross {
namespace {

constexpr Millis kRetryAfter{1000};

bool IsOpen(const HttpRequest& request, const ConfigHolder& config) {
  const RouteSpec* route = config.Get()->FindRoute(request.m_path);
  return route != nullptr && route->m_open;
}

HttpReply MakeStaleConfigRefusal() {
  CountMetric("bronzecross_stale_refusals_total");
  return ErrorReply(Error{ResultCode::kStaleConfig,
                          "this VM cannot confirm its configuration",
                          RunState::kNotRun, kRetryAfter});
}

}  // namespace

HttpHandlers GateStaleConfig(HttpHandlers handlers,
                             const ConfigHolder& config,
                             std::function<bool()> is_fresh) {
  HttpHandlers gated;
  gated.m_plan = [plan = std::move(handlers.m_plan), &config,
                  is_fresh](HttpRequest& request) {
    // Checked before the body is read, to avoid receiving an upload that would
    // be rejected.
    if (!is_fresh() && !IsOpen(request, config)) {
      return BodyPlan{0, nullptr, MakeStaleConfigRefusal()};
    }
    return plan(request);
  };
  gated.m_handle = [handle = std::move(handlers.m_handle), &config, is_fresh](
                       HttpRequest& request, const Status& body) {
    // Checked again: the manifest may have become stale while the body was
    // being received.
    if (!is_fresh() && !IsOpen(request, config)) {
      return MakeStaleConfigRefusal();
    }
    return handle(request, body);
  };
  return gated;
}

}  // namespace bronzecross
