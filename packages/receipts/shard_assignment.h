// Assigns requests to receipt shards and shards to VMs.

#ifndef BRONZECROSS_RECEIPTS_SHARD_ASSIGNMENT_H_
#define BRONZECROSS_RECEIPTS_SHARD_ASSIGNMENT_H_

#include <span>
#include <string>
#include <string_view>

#include "membership/member.h"

namespace bronzecross {

inline constexpr int kReceiptShards = 16;

// Returns the id of a receipt: a hash of workspace and Idempotency-Key.
std::string ReceiptId(std::string_view workspace, std::string_view key);

// Returns the shard of a receipt, 0 to kReceiptShards - 1.
int ShardOf(std::string_view receipt_id);

// Returns the VM that should take over `shard` when it has no live owner. This
// is the first by rendezvous hash among the VMs that are not draining and have
// two other data VMs, not draining, to write to; if there are none, among all
// VMs that are not draining. Empty if all VMs are draining.
std::string ChooseShardOwner(int shard, std::span<const Member> live);

}  // namespace bronzecross

#endif  // BRONZECROSS_RECEIPTS_SHARD_ASSIGNMENT_H_
