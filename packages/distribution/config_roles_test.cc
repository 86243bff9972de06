#include "distribution/config_roles.h"

#include <map>

#include <doctest/doctest.h>

namespace bronzecross {
namespace {

std::vector<Member> MakeMembers(int count) {
  std::vector<Member> members(static_cast<size_t>(count));
  for (size_t i = 0; i < members.size(); ++i) {
    members[i].m_id = "vm-" + std::to_string(i);
  }
  return members;
}

}  // namespace

// Guards against watchers that all lost the store while others reach it.
TEST_CASE("at most three VMs watch, those that reach the store first") {
  const std::vector<Member> members = MakeMembers(6);
  const std::vector<std::string> all = ChooseWatchers(members, {});
  REQUIRE(all.size() == kMaxWatchers);
  const std::set<std::string> lost(all.begin(), all.end());
  for (const std::string& id : ChooseWatchers(members, lost)) {
    CHECK_FALSE(lost.contains(id));
  }
  std::set<std::string> everyone;
  for (const Member& member : members) {
    everyone.insert(member.m_id);
  }
  CHECK(ChooseWatchers(members, everyone) == all);
  CHECK(ChooseWatchers(MakeMembers(2), {}).size() == 2);
}

// Guards against members that no push reaches, or that a push reaches twice.
TEST_CASE("a change reaches each VM once, in small and large fleets") {
  for (const int count : {1, 5, 16, 17, 100, 1600}) {
    const std::vector<Member> members = MakeMembers(count);
    std::map<std::string, int> reached;
    size_t most = 0;
    for (const Member& member : members) {
      const std::vector<std::string> targets =
          PushTargets("vm-0", member.m_id, members);
      most = std::max(most, targets.size());
      for (const std::string& id : targets) {
        ++reached[id];
      }
    }
    CHECK(reached.size() == members.size() - 1);
    CHECK_FALSE(reached.contains("vm-0"));
    for (const auto& [id, times] : reached) {
      CHECK(times == 1);
    }
    CHECK(most <= (count > 16 ? kPushFanOut : 15));
  }
}

}  // namespace bronzecross
