// The decisions how many batch items an upstream may hold beside its online
// requests and which of them give way.

#ifndef BRONZECROSS_BATCH_UPSTREAM_ROOM_H_
#define BRONZECROSS_BATCH_UPSTREAM_ROOM_H_

#include <cstdint>
#include <span>
#include <vector>

#include "base/clock.h"

namespace bronzecross {

// What an upstream's dispatcher knows of its load.
struct RoomView {
  int64_t m_slots = 1;
  // Share of the slots that may be used, in (0, 1].
  double m_fill_target = 1;
  // Slots kept free for online requests that arrive before the dispatcher
  // learns of them.
  int64_t m_reserve = 0;
  // Online requests in flight from this VM and the others.
  int64_t m_online = 0;
  // Batch items in flight from this VM, and from VMs that were its dispatcher.
  int64_t m_own_batch = 0;
  int64_t m_peers_batch = 0;
  // Requests that the upstream reported beyond the ones known at the time.
  int64_t m_hidden = 0;
};

// Batch items that may be sent now; if negative, so many have to give way.
int64_t BatchRoom(const RoomView& view);

// One batch item that runs on an upstream.
struct RunningItem {
  uint64_t m_run = 0;
  Millis m_started;
};

// The runs to cancel so that `excess` items give way: the youngest first, as
// they lose the least. Items that must not be cancelled are not passed.
std::vector<uint64_t> ItemsToCancel(std::span<const RunningItem> running,
                                    int64_t excess);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_UPSTREAM_ROOM_H_
