// The record in the store of a receipt shard's owner and ledger.

#ifndef BRONZECROSS_RECEIPTS_SHARD_RECORD_H_
#define BRONZECROSS_RECEIPTS_SHARD_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"

namespace bronzecross {

struct ShardRecord {
  // The VM that owns the shard; empty if it has no owner.
  std::string m_owner;
  // Incremented when the owner changes or a compaction replaces the ledger.
  uint64_t m_epoch = 0;
  std::string m_ledger;
};

// Returns JSON with a random writer token.
std::string SerializeShardRecord(const ShardRecord& record);

// Fails with kCorrupt.
Result<ShardRecord> ParseShardRecord(std::string_view text);

}  // namespace bronzecross

#endif  // BRONZECROSS_RECEIPTS_SHARD_RECORD_H_
