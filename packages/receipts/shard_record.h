// The store's record of a receipt shard's owner.

#ifndef BRONZECROSS_RECEIPTS_SHARD_RECORD_H_
#define BRONZECROSS_RECEIPTS_SHARD_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"

namespace bronzecross {

struct ShardRecord {
  // The owning VM; empty: the shard is free.
  std::string m_owner;
  // Rises with each change of owner or ledger.
  uint64_t m_epoch = 0;
  std::string m_ledger;
};

// JSON with a random writer token.
std::string SerializeShardRecord(const ShardRecord& record);

// Fails with kCorrupt.
Result<ShardRecord> ParseShardRecord(std::string_view text);

}  // namespace bronzecross

#endif  // BRONZECROSS_RECEIPTS_SHARD_RECORD_H_
