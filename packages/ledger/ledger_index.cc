#include "ledger/ledger_index.h"

#include <algorithm>

#include <absl/strings/ascii.h>
#include <nlohmann/json.hpp>

#include "base/random.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr size_t kMaxIdBytes = 128;

}  // namespace

std::string SerializeLedgerIndex(const LedgerIndex& index) {
  json segments = json::array();
  for (const LedgerSegment& segment : index.m_segments) {
    segments.push_back({{"number", segment.m_number},
                        {"first", segment.m_first},
                        {"end", segment.m_end},
                        {"epoch", segment.m_epoch},
                        {"copies", segment.m_copies}});
  }
  return json{{"epoch", index.m_epoch},
              {"owner", index.m_owner},
              {"sealed", index.m_sealed},
              {"segments", std::move(segments)},
              {"writer", RandomId()}}
      .dump();
}

Result<LedgerIndex> ParseLedgerIndex(std::string_view text) {
  try {
    const json record = json::parse(text);
    LedgerIndex index;
    record.at("epoch").get_to(index.m_epoch);
    record.at("owner").get_to(index.m_owner);
    record.at("sealed").get_to(index.m_sealed);
    for (const json& item : record.at("segments")) {
      LedgerSegment& segment = index.m_segments.emplace_back();
      item.at("number").get_to(segment.m_number);
      item.at("first").get_to(segment.m_first);
      item.at("end").get_to(segment.m_end);
      item.at("epoch").get_to(segment.m_epoch);
      item.at("copies").get_to(segment.m_copies);
    }
    if (!index.m_segments.empty()) {
      return index;
    }
  } catch (const json::exception&) {
  }
  return Fail(ResultCode::kCorrupt, "the ledger's record is damaged");
}

bool IsLedgerId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::all_of(id.begin(), id.end(), [](char c) {
           return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
                  c == '_' || c == '-';
         });
}

}  // namespace bronzecross
