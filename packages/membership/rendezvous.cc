#include "membership/rendezvous.h"

#include <algorithm>

#include "base/hash.h"

namespace bronzecross {

std::vector<std::string> RankMembers(std::string_view key,
                                     std::span<const Member> members) {
  const uint64_t seed = Hash64(key);
  std::vector<std::pair<uint64_t, std::string>> scored;
  for (const Member& member : members) {
    scored.emplace_back(Hash64(member.m_id, seed), member.m_id);
  }
  std::sort(scored.rbegin(), scored.rend());
  std::vector<std::string> ids;
  for (std::pair<uint64_t, std::string>& entry : scored) {
    ids.push_back(std::move(entry.second));
  }
  return ids;
}

std::string FirstMember(std::string_view key, std::span<const Member> members) {
  const uint64_t seed = Hash64(key);
  const Member* best = nullptr;
  std::pair<uint64_t, std::string_view> best_score;
  for (const Member& member : members) {
    const std::pair<uint64_t, std::string_view> score(Hash64(member.m_id, seed),
                                                      member.m_id);
    if (best == nullptr || score > best_score) {
      best = &member;
      best_score = score;
    }
  }
  return best == nullptr ? "" : best->m_id;
}

}  // namespace bronzecross
