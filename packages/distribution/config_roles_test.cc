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

// Guards against a choice of watchers that all lost the store while other VMs
// reach it.
TEST_CASE("at most three VMs watch, preferably those that reach the store") {
  const std::vector<Member> members = MakeMembers(6);
  const std::vector<std::string> all = ChooseWatchers(members, {});
  REQUIRE(all.size() == kMaxWatchers);
  const std::set<std::string> unreachable(all.begin(), all.end());
  for (const std::string& id : ChooseWatchers(members, unreachable)) {
    CHECK_FALSE(unreachable.contains(id));
  }
  std::set<std::string> all_ids;
  for (const Member& member : members) {
    all_ids.insert(member.m_id);
  }
  CHECK(ChooseWatchers(members, all_ids) == all);
  CHECK(ChooseWatchers(MakeMembers(2), {}).size() == 2);
}

// Guards against members that no push reaches, or that are pushed to twice.
TEST_CASE("a change is pushed to each VM once, in small and large fleets") {
  for (const int count : {1, 5, 16, 17, 100, 1600}) {
    const std::vector<Member> members = MakeMembers(count);
    std::map<std::string, int> reached;
    size_t max_targets = 0;
    for (const Member& member : members) {
      const std::vector<std::string> targets =
          PushTargets("vm-0", member.m_id, members);
      max_targets = std::max(max_targets, targets.size());
      for (const std::string& id : targets) {
        ++reached[id];
      }
    }
    CHECK(reached.size() == members.size() - 1);
    CHECK_FALSE(reached.contains("vm-0"));
    for (const auto& [id, times] : reached) {
      CHECK(times == 1);
    }
    CHECK(max_targets <= (count > 16 ? kPushFanOut : 15));
  }
}

}  // namespace bronzecross
