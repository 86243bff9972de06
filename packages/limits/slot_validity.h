// Until when a VM may use its slots, and when it may report another silent.

#ifndef BRONZECROSS_LIMITS_SLOT_VALIDITY_H_
#define BRONZECROSS_LIMITS_SLOT_VALIDITY_H_

#include <span>
#include <vector>

#include "limits/slot_table.h"

namespace bronzecross {

// An answer to a heartbeat counts for so long, from the heartbeat's sending.
inline constexpr Millis kContactWindow{1500};
// A holder unheard for longer may be reported silent. Must exceed
// kContactWindow: the holder has then stopped counting on this VM's answer.
inline constexpr Millis kSilentAfter{5000};
// A version must have been settled for so long before a holder is removed under
// it. Must exceed kContactWindow: answers given under older versions have then
// run out.
inline constexpr Millis kSettledBeforeTakeover{2000};

// The last answer of another VM to a heartbeat of this one.
struct SlotContact {
  SlotHolderId m_id;
  // When the answered heartbeat was sent; zero: never.
  Millis m_sent;
  // The table's version that the VM knew, and whether it reports this VM.
  int64_t m_version = 0;
  bool m_reports_me = false;
};

// What this VM's lease in the store says.
struct SlotLease {
  // The lease under which this VM's holder key stands and after whose writing
  // the table was read; 0: none.
  int64_t m_registered = 0;
  int64_t m_held = 0;
  Millis m_expires;
};

// The time until which `self` may use its slots; not after `now`: not now. It
// may while its lease holds, or a majority of the holders, itself included,
// answered it within kContactWindow, knowing the same version of the table and
// not reporting it silent. The only holder is a majority by itself.
Millis SlotsUsableUntil(const SlotTable& table,
                        const SlotHolderId& self,
                        const SlotLease& lease,
                        std::span<const SlotContact> contacts,
                        Millis now);

struct SilenceView {
  Millis m_started;  // of this VM's daemon
  // When the holder was last heard; zero: never in this run.
  Millis m_last_heard;
};

bool MayReportSilent(const SilenceView& view, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_SLOT_VALIDITY_H_
