// Decides how many batch items run at an upstream, and which of them stand
// aside. It answers a load that swings within seconds: batch fills the room
// that online requests leave, over all VMs together, and yields it within a
// tenth of a second.

#ifndef BRONZECROSS_JOBS_BATCH_ROOM_H_
#define BRONZECROSS_JOBS_BATCH_ROOM_H_

#include <span>
#include <string>

#include "base/clock.h"
#include "base/random.h"

namespace bronzecross {

// Slots of each upstream that batch leaves free for online requests that arrive
// before other VMs' batch work could stand aside.
inline constexpr int kBatchHeadroom = 1;

// What is known of one upstream, over all VMs.
struct UpstreamRoom {
  int m_slots = 0;
  int m_online = 0;
  int m_batch = 0;
};

// Slots that batch work of all VMs together may still take.
int FreeForBatch(const UpstreamRoom& room);

// This VM's part of `free` slots: all VMs with waiting items share them by what
// waits at each. `own` of `all` waiting items are here.
int ShareOfRoom(int free, int own, int all, Random& random);

// Batch items of one VM at an upstream.
struct VmBatch {
  std::string m_vm;
  int m_items = 0;
};

// How many of its items at an overfull upstream VM `self` stops. Each VM
// computes the same order, so that together they stop just enough: the VM with
// the highest id yields first.
int ItemsToYield(const UpstreamRoom& room,
                 std::string_view self,
                 std::span<const VmBatch> batches);

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_BATCH_ROOM_H_
