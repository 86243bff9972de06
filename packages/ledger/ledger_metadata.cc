#include "ledger/ledger_metadata.h"

#include <algorithm>

#include <absl/strings/ascii.h>
#include <nlohmann/json.hpp>

#include "base/random.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr size_t kMaxIdBytes = 128;

}  // namespace

std::string SerializeLedgerMetadata(const LedgerMetadata& metadata) {
  json segments = json::array();
  for (const LedgerSegment& segment : metadata.m_segments) {
    segments.push_back({{"number", segment.m_number},
                        {"first", segment.m_first},
                        {"end", segment.m_end},
                        {"epoch", segment.m_epoch},
                        {"copies", segment.m_copies}});
  }
  return json{{"epoch", metadata.m_epoch},
              {"owner", metadata.m_owner},
              {"sealed", metadata.m_sealed},
              {"segments", std::move(segments)},
              {"writer", RandomId()}}
      .dump();
}

Result<LedgerMetadata> ParseLedgerMetadata(std::string_view text) {
  try {
    const json document = json::parse(text);
    LedgerMetadata metadata;
    document.at("epoch").get_to(metadata.m_epoch);
    document.at("owner").get_to(metadata.m_owner);
    document.at("sealed").get_to(metadata.m_sealed);
    for (const json& item : document.at("segments")) {
      LedgerSegment& segment = metadata.m_segments.emplace_back();
      item.at("number").get_to(segment.m_number);
      item.at("first").get_to(segment.m_first);
      item.at("end").get_to(segment.m_end);
      item.at("epoch").get_to(segment.m_epoch);
      item.at("copies").get_to(segment.m_copies);
    }
    if (!metadata.m_segments.empty()) {
      return metadata;
    }
  } catch (const json::exception&) {
  }
  return Fail(ResultCode::kCorrupt, "the ledger's metadata is damaged");
}

bool IsLedgerId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::all_of(id.begin(), id.end(), [](char c) {
           return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
                  c == '_' || c == '-';
         });
}

}  // namespace bronzecross
