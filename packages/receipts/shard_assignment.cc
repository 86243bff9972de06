#include "receipts/shard_assignment.h"

#include <algorithm>
#include <vector>

#include <absl/strings/str_cat.h>

#include "base/hash.h"
#include "membership/rendezvous.h"

namespace bronzecross {
namespace {

constexpr size_t kIdDigits = 32;
constexpr int kMinOtherCopies = 2;

}  // namespace

std::string ReceiptId(std::string_view workspace, std::string_view key) {
  std::string text(workspace);
  text.push_back('\0');
  text.append(key);
  return Sha256Hex(text).substr(0, kIdDigits);
}

int ShardOf(std::string_view receipt_id) {
  return static_cast<int>(Hash64(receipt_id) % kReceiptShards);
}

std::string ChooseShardOwner(int shard, std::span<const Member> live) {
  std::vector<Member> candidates;
  std::vector<Member> writable;
  for (const Member& member : live) {
    if (member.m_draining) {
      continue;
    }
    candidates.push_back(member);
    const auto others =
        std::count_if(live.begin(), live.end(), [&member](const Member& other) {
          return other.m_has_data_dir && !other.m_draining &&
                 other.m_id != member.m_id;
        });
    if (others >= kMinOtherCopies) {
      writable.push_back(member);
    }
  }
  return FirstMember(absl::StrCat("receipts/", shard),
                     writable.empty() ? candidates : writable);
}

}  // namespace bronzecross
