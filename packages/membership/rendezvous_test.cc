#include "membership/rendezvous.h"

#include <map>

#include <doctest/doctest.h>

namespace bronzecross {

// Guards against keys that move between the remaining VMs when one leaves.
TEST_CASE("keys are distributed evenly and only a removed member's keys move") {
  std::vector<Member> members(6);
  for (size_t i = 0; i < members.size(); ++i) {
    members[i].m_id = "vm-" + std::to_string(i);
  }
  std::vector<Member> fewer(members.begin(), members.end() - 1);
  std::map<std::string, int> counts;
  for (int i = 0; i < 6000; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const std::string before = FirstMember(key, members);
    ++counts[before];
    CHECK(RankMembers(key, members).front() == before);
    if (before != "vm-5") {
      CHECK(FirstMember(key, fewer) == before);
    }
  }
  for (const auto& [id, count] : counts) {
    CHECK(count > 800);
    CHECK(count < 1200);
  }
}

}  // namespace bronzecross
