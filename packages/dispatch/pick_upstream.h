// Decides which upstream runs an online request. It answers the load of peaks
// that need every slot: engines admit in order of arrival, so a request goes
// only where a slot is free or held by batch work, and waits here otherwise.

#ifndef BRONZECROSS_DISPATCH_PICK_UPSTREAM_H_
#define BRONZECROSS_DISPATCH_PICK_UPSTREAM_H_

#include <cstddef>
#include <optional>
#include <span>

#include "base/random.h"

namespace bronzecross {

// What is known of one upstream. Counts include the requests of all VMs.
struct UpstreamLoad {
  int m_slots = 0;
  int m_online = 0;
  int m_batch = 0;
  int m_urgent = 0;      // of the batch items: those that don't stand aside
  double m_work_ms = 0;  // zero: not measured
  bool m_same_zone = false;
  bool m_usable = true;  // healthy, not draining, not tried before
};

// Whether other VMs should hear at once that a request was placed at an
// upstream that now has `total` requests: they would choose it as well until
// then.
bool IsWorthTelling(int total, int slots);

// Index of the choice; nothing if no upstream has room.
std::optional<size_t> PickUpstream(std::span<const UpstreamLoad> loads,
                                   Random& random);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_PICK_UPSTREAM_H_
