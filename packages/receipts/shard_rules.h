// Which receipt shard a request belongs to and which VM should own a shard.

#ifndef BRONZECROSS_RECEIPTS_SHARD_RULES_H_
#define BRONZECROSS_RECEIPTS_SHARD_RULES_H_

#include <span>
#include <string>
#include <string_view>

#include "membership/member.h"

namespace bronzecross {

inline constexpr int kReceiptShards = 16;

// The identity of a receipt: a hash of workspace and Idempotency-Key.
std::string ReceiptId(std::string_view workspace, std::string_view key);

// 0 to kReceiptShards - 1.
int ShardOf(std::string_view receipt_id);

// The VM that takes `shard` when it is free: the first by rendezvous hash among
// those not draining that have two other data VMs to write to; if there are
// none such, among all that are not draining. Empty if all are draining.
std::string ChooseShardOwner(int shard, std::span<const Member> live);

}  // namespace bronzecross

#endif  // BRONZECROSS_RECEIPTS_SHARD_RULES_H_
