// Decides whether a job's owner has to be replaced.

#ifndef BRONZECROSS_BATCH_JOB_TAKEOVER_H_
#define BRONZECROSS_BATCH_JOB_TAKEOVER_H_

#include "base/clock.h"

namespace bronzecross {

// What the scanning VM knows about a job's owner.
struct OwnerStatus {
  // Whether the store has the VM record of the owner's incarnation.
  bool m_has_record = false;
  // Whether the store has the VM record of another incarnation of the same VM.
  bool m_restarted = false;
  // Whether the owner's incarnation responds to heartbeats.
  bool m_recently_seen = false;
  // Whether the owner announces the job in its heartbeats.
  bool m_announces = false;
  // Whether the job's record says that it is to be cancelled, and the owner's
  // announcement does not.
  bool m_misses_cancel = false;
  // How long the scan has found a problem with the owner.
  Millis m_condition_age;
};

enum class OwnerAction {
  kNone,
  // The first live VM by rendezvous hash takes the job over.
  kTakeOver,
  // The owner is live but has to read the job's record again.
  kCheckRecord,
};

OwnerAction DecideOwnerAction(const OwnerStatus& status);

// Time for an owner that responds to heartbeats to write its VM record again.
// It lost the record with its lease in a store outage.
inline constexpr Millis kRecordGracePeriod{10'000};
// Time for an owner to announce a job. A newly accepted job is announced after
// about one heartbeat.
inline constexpr Millis kAnnounceGracePeriod{3000};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_JOB_TAKEOVER_H_
