#include "batch/job_takeover.h"

namespace bronzecross {

OwnerAction DecideOwnerAction(const OwnerStatus& status) {
  if (status.m_restarted) {
    return OwnerAction::kTakeOver;
  }
  if (!status.m_has_record) {
    const bool gone =
        !status.m_recently_seen || status.m_condition_age >= kRecordGracePeriod;
    return gone ? OwnerAction::kTakeOver : OwnerAction::kNone;
  }
  if (status.m_recently_seen && !status.m_announces &&
      status.m_condition_age >= kAnnounceGracePeriod) {
    return OwnerAction::kCheckRecord;
  }
  if (status.m_recently_seen && status.m_announces && status.m_misses_cancel) {
    return OwnerAction::kCheckRecord;
  }
  return OwnerAction::kNone;
}

}  // namespace bronzecross
