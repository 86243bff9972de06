// Decides until when a VM may use its slots, and when it may report another VM
// as unresponsive.

#ifndef BRONZECROSS_LIMITS_SLOT_VALIDITY_H_
#define BRONZECROSS_LIMITS_SLOT_VALIDITY_H_

#include <span>
#include <vector>

#include "limits/slot_table.h"

namespace bronzecross {

// How long a reply to a heartbeat is valid, from the sending of the heartbeat.
inline constexpr Millis kContactWindow{1500};
// A holder that was not seen for longer may be reported as unresponsive. Must
// exceed kContactWindow, so that the last reply of this VM to the holder has
// expired by then.
inline constexpr Millis kUnresponsiveAfter{5000};
// Time for which a version must have been settled before a holder is removed
// under it. Must exceed kContactWindow, so that replies sent under older
// versions have expired by then.
inline constexpr Millis kSettledBeforeTakeover{2000};

// The last reply of another VM to a heartbeat of this one.
struct SlotContact {
  SlotHolderId m_id;
  // When the heartbeat was sent; zero: no reply was received.
  Millis m_sent;
  // The version of the slot table that the VM knew, and whether it reports this
  // VM as unresponsive.
  int64_t m_version = 0;
  bool m_reports_self = false;
};

// State of this VM's lease in the store.
struct SlotLease {
  // The lease to which this VM's holder key is attached, set once the table was
  // read after the key was written; 0: none.
  int64_t m_registered = 0;
  int64_t m_held = 0;
  Millis m_expires;
};

// Returns the time until which `self` may use its slots; it may not use them
// now unless that is after `now`. It may use them while its lease is held, or
// while a majority of the holders, itself included, replied to it within
// kContactWindow, knew the same version of the table and did not report it as
// unresponsive. A single holder is a majority by itself.
Millis SlotsUsableUntil(const SlotTable& table,
                        const SlotHolderId& self,
                        const SlotLease& lease,
                        std::span<const SlotContact> contacts,
                        Millis now);

struct HolderObservation {
  Millis m_started;  // start of this VM's daemon
  // When this VM last received a heartbeat of the holder; zero: never in this
  // run.
  Millis m_last_seen;
};

bool MayReportUnresponsive(const HolderObservation& view, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_SLOT_VALIDITY_H_
