#include "limits/slot_validity.h"

#include <algorithm>

namespace bronzecross {

Millis SlotsUsableUntil(const SlotTable& table,
                        const SlotHolderId& self,
                        const SlotLease& lease,
                        std::span<const SlotContact> contacts,
                        Millis now) {
  if (SlotsOf(table, self) == 0) {
    return Millis(0);
  }
  Millis until;
  if (lease.m_held != 0 && lease.m_held == lease.m_registered) {
    until = lease.m_expires;
  }
  std::vector<Millis> sent;
  for (const SlotContact& contact : contacts) {
    if (SlotsOf(table, contact.m_id) > 0 && contact.m_id != self &&
        contact.m_sent != Millis(0) && contact.m_version == table.m_version &&
        !contact.m_reports_self) {
      sent.push_back(contact.m_sent);
    }
  }
  // Number of other VMs needed for a majority.
  const size_t needed = table.m_holders.size() / 2;
  if (needed == 0) {
    return std::max(until, now + kContactWindow);
  }
  if (sent.size() < needed) {
    return until;
  }
  std::sort(sent.begin(), sent.end(), std::greater<>());
  return std::max(until, sent[needed - 1] + kContactWindow);
}

bool MayReportUnresponsive(const HolderObservation& view, Millis now) {
  return now - view.m_started > kUnresponsiveAfter &&
         (view.m_last_seen == Millis(0) ||
          now - view.m_last_seen > kUnresponsiveAfter);
}

}  // namespace bronzecross
