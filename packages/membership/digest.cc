#include "membership/digest.h"

#include <algorithm>
#include <string>

#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "membership/member_liveness.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr uint8_t kUnknownAge = 15;

uint8_t AgeSteps(const Member& member, Millis now) {
  if (member.m_last_known_alive == Millis(0)) {
    return kUnknownAge;
  }
  const int64_t age =
      std::max<int64_t>(0, (now - member.m_last_known_alive).count());
  const int64_t steps =
      (age + kDigestAgeStep.count() - 1) / kDigestAgeStep.count();
  return static_cast<uint8_t>(std::min<int64_t>(steps, kUnknownAge));
}

constexpr int kDraining = 1;
constexpr int kHasDataDir = 2;

int FlagsOf(const Member& member) {
  return (member.m_draining ? kDraining : 0) |
         (member.m_has_data_dir ? kHasDataDir : 0);
}

void RecordLastKnownAlive(Member& member, Millis alive_at) {
  member.m_last_known_alive = std::max(member.m_last_known_alive, alive_at);
}

void MergeShortForm(const json::binary_t& ages,
                    Millis sent,
                    std::span<Member* const> members) {
  if (ages.size() != (members.size() + 1) / 2) {
    return;
  }
  for (size_t i = 0; i < members.size(); ++i) {
    const uint8_t steps = (ages[i / 2] >> (i % 2 * 4)) & 0x0f;
    if (steps != kUnknownAge) {
      RecordLastKnownAlive(*members[i], sent - kDigestAgeStep * steps);
    }
  }
}

void MergeLongForm(const json& entries,
                   Millis sent,
                   std::span<Member* const> members) {
  for (const json& entry : entries) {
    const std::string id = entry.at(0);
    for (Member* member : members) {
      if (member->m_id == id &&
          AcceptIncarnation(*member, entry.at(1).get<int64_t>())) {
        RecordLastKnownAlive(*member,
                             sent - Millis(entry.at(2).get<int64_t>()));
        const int flags = entry.at(3);
        member->m_draining = member->m_draining || (flags & kDraining) != 0;
        member->m_has_data_dir =
            member->m_has_data_dir || (flags & kHasDataDir) != 0;
      }
    }
  }
}

}  // namespace

uint32_t MembersHash(std::span<Member* const> members) {
  uint64_t hash = members.size();
  for (const Member* member : members) {
    const uint64_t state = static_cast<uint64_t>(member->m_incarnation) * 4 +
                           static_cast<uint64_t>(FlagsOf(*member));
    hash = Hash64(member->m_id, hash ^ state);
  }
  return static_cast<uint32_t>(hash);
}

json MakeDigest(std::span<Member* const> members,
                uint32_t requester_hash,
                Millis now,
                uint64_t first) {
  if (MembersHash(members) == requester_hash) {
    json::binary_t::container_type ages((members.size() + 1) / 2, 0);
    for (size_t i = 0; i < members.size(); ++i) {
      ages[i / 2] |=
          static_cast<uint8_t>(AgeSteps(*members[i], now) << (i % 2 * 4));
    }
    return json::binary(std::move(ages));
  }
  json entries = json::array();
  const size_t count = std::min(members.size(), kMaxLongFormEntries);
  for (size_t i = 0; i < count; ++i) {
    const Member& member = *members[(first + i) % members.size()];
    if (member.m_last_known_alive != Millis(0) && member.m_incarnation != 0) {
      entries.push_back(json::array(
          {member.m_id, member.m_incarnation,
           std::max<int64_t>(0, (now - member.m_last_known_alive).count()),
           FlagsOf(member)}));
    }
  }
  return entries;
}

void MergeDigest(const json& digest,
                 uint32_t own_hash,
                 Millis sent,
                 std::span<Member* const> members) {
  if (!digest.is_binary()) {
    MergeLongForm(digest, sent, members);
    return;
  }
  if (MembersHash(members) == own_hash) {
    MergeShortForm(digest.get_binary(), sent, members);
  }
}

}  // namespace bronzecross
