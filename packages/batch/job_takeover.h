// The decision whether a job's owner has to be replaced.

#ifndef BRONZECROSS_BATCH_JOB_TAKEOVER_H_
#define BRONZECROSS_BATCH_JOB_TAKEOVER_H_

#include "base/clock.h"

namespace bronzecross {

// What the scanning VM knows of a job's owner.
struct OwnerView {
  // Whether the store has a record of the owning run of the daemon.
  bool m_has_record = false;
  // Whether the store has a record of a later run of the same VM.
  bool m_restarted = false;
  // Whether the owning run answers heartbeats.
  bool m_heard = false;
  // Whether the owner announces the job in its heartbeats.
  bool m_announces = false;
  // Whether the store says that the job is to be cancelled, and the owner's
  // announcement does not.
  bool m_misses_cancel = false;
  // For how long the job has been seen in this condition.
  Millis m_since;
};

enum class OwnerAction {
  kNone,
  // The first live VM by rendezvous hash takes the job over.
  kTakeOver,
  // The owner lives but has to read the job's record again.
  kRemind,
};

OwnerAction JudgeOwner(const OwnerView& view);

// An owner without a record that still answers heartbeats lost its lease in a
// store outage; it gets this long to write its record again.
inline constexpr Millis kRecordGrace{10'000};
// A job just accepted is announced after about one heartbeat.
inline constexpr Millis kAnnounceGrace{3000};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_JOB_TAKEOVER_H_
