#include "limits/limiter.h"

#include "base/metrics.h"

namespace bronzecross {

Status Limiter::Admit(const WorkspaceSpec& workspace) {
  const double share = 1.0 / static_cast<double>(m_membership.Known().size());
  const double rate = workspace.m_rate_per_s * share;
  const Millis now = MonotonicNow();
  absl::MutexLock lock(&m_mutex);
  TokenBucket& bucket =
      m_buckets.try_emplace(workspace.m_name, TokenBucket{0, m_started})
          .first->second;
  Refill(bucket, rate, workspace.m_burst * share, now);
  if (TakeTokens(bucket, 1)) {
    return {};
  }
  CountMetric("bronzecross_rate_limited_total",
              {{"workspace", workspace.m_name}});
  Error error{ResultCode::kRateLimited,
              "the workspace is over its rate and burst", RunState::kNotRun,
              TimeUntil(bucket, rate, 1)};
  return tl::unexpected<Error>(std::move(error));
}

}  // namespace bronzecross
