#include "base/log.h"
#include "base/metrics.h"
#include "gateway/online_request.h"

namespace bronzecross {

void OnlineRequest::LogAttempt(const Upstream& upstream,
                               CallState state,
                               int status) const {
  Log(Severity::kInfo, LogPart::kRouting, "Tried an upstream.",
      {{"request", m_request.m_fields.m_request_id},
       {"upstream", upstream.m_entry.m_id},
       {"state", CallStateName(state)},
       {"status", status},
       {"online", upstream.m_online},
       {"batch", upstream.m_batch},
       {"peer_online", upstream.m_peer_online},
       {"peer_batch", upstream.m_peer_batch},
       {"ms", MonotonicNow() - m_request.m_arrived}});
}

void OnlineRequest::LogEnd(std::string_view outcome, int status) const {
  const Millis took = MonotonicNow() - m_request.m_arrived;
  const std::string& route = m_request.m_route->m_name;
  Log(Severity::kInfo, LogPart::kOnline, "A request ended.",
      {{"request", m_request.m_fields.m_request_id},
       {"route", route},
       {"workspace",
        m_request.m_workspace == nullptr ? "-" : m_request.m_workspace->m_name},
       {"config", m_request.m_config->m_version},
       {"outcome", outcome},
       {"status", status},
       {"refusals", m_rejections},
       {"runs", m_runs},
       {"ms", took}});
  CountMetric("bronzecross_requests_total", {{"outcome", outcome}});
  ObserveSeconds("bronzecross_request_seconds", {{"outcome", outcome}},
                 took.Seconds());
}

}  // namespace bronzecross
