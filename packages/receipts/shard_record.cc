#include "receipts/shard_record.h"

#include <nlohmann/json.hpp>

#include "base/random.h"

namespace bronzecross {

using nlohmann::json;

std::string SerializeShardRecord(const ShardRecord& record) {
  return json{{"owner", record.m_owner},
              {"epoch", record.m_epoch},
              {"ledger", record.m_ledger},
              {"writer", RandomId()}}
      .dump();
}

Result<ShardRecord> ParseShardRecord(std::string_view text) {
  try {
    const json parsed = json::parse(text);
    ShardRecord record;
    parsed.at("owner").get_to(record.m_owner);
    parsed.at("epoch").get_to(record.m_epoch);
    parsed.at("ledger").get_to(record.m_ledger);
    return record;
  } catch (const json::exception&) {
    return Fail(ResultCode::kCorrupt, "the shard's record is damaged");
  }
}

}  // namespace bronzecross
