#include "batch/job_takeover.h"

namespace bronzecross {

OwnerAction JudgeOwner(const OwnerView& view) {
  if (view.m_restarted) {
    return OwnerAction::kTakeOver;
  }
  if (!view.m_has_record) {
    const bool gone = !view.m_heard || view.m_since >= kRecordGrace;
    return gone ? OwnerAction::kTakeOver : OwnerAction::kNone;
  }
  if (view.m_heard && !view.m_announces && view.m_since >= kAnnounceGrace) {
    return OwnerAction::kRemind;
  }
  if (view.m_heard && view.m_announces && view.m_misses_cancel) {
    return OwnerAction::kRemind;
  }
  return OwnerAction::kNone;
}

}  // namespace bronzecross
