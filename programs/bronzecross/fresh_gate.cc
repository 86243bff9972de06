#include "fresh_gate.h"

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

HttpReply Refuse() {
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
    // Refused by the header, so that no upload is taken in vain.
    if (!is_fresh() && !IsOpen(request, config)) {
      return BodyPlan{0, nullptr, Refuse()};
    }
    return plan(request);
  };
  gated.m_handle = [handle = std::move(handlers.m_handle), &config, is_fresh](
                       HttpRequest& request, const Status& body) {
    // The manifest may have grown stale while the body came.
    if (!is_fresh() && !IsOpen(request, config)) {
      return Refuse();
    }
    return handle(request, body);
  };
  return gated;
}

}  // namespace bronzecross
