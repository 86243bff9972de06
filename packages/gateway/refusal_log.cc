#include "gateway/refusal_log.h"

#include "base/log.h"
#include "base/metrics.h"

namespace bronzecross {
namespace {

// Minimum time between two log lines with the same reason.
constexpr Millis kLogInterval{1'000};

}  // namespace

std::string_view ReadFaultName(ReadFault fault) {
  switch (fault) {
    case ReadFault::kNone:
      return "none";
    case ReadFault::kHeadTooLarge:
      return "header_too_large";
    case ReadFault::kConnectionFull:
      return "connection_share";
    case ReadFault::kShareFull:
      return "workspace_share";
    case ReadFault::kBudgetFull:
      return "memory_budget";
    case ReadFault::kTooSlow:
      return "slow_body";
  }
  return "none";
}

void RefusalLog::Count(std::string_view reason, Millis now) {
  CountMetric("bronzecross_bound_refusals_total", {{"reason", reason}});
  const auto found = m_reasons.find(reason);
  Reason& counts =
      found != m_reasons.end() ? found->second : m_reasons[std::string(reason)];
  ++counts.m_unlogged;
  if (counts.m_logged != Millis() && now - counts.m_logged < kLogInterval) {
    return;
  }
  Log(Severity::kWarning, LogPart::kHttp, "A bound on connections was reached.",
      {{"reason", reason}, {"times", counts.m_unlogged}});
  counts.m_logged = now;
  counts.m_unlogged = 0;
}

}  // namespace bronzecross
