#include "ledger/replication_rules.h"

#include <set>

#include <doctest/doctest.h>

namespace bronzecross {
namespace {

Member DataVm(const std::string& id, const std::string& zone) {
  Member member;
  member.m_id = id;
  member.m_availability_zone = zone;
  member.m_has_data_dir = true;
  return member;
}

std::vector<Member> FourVms() {
  return {DataVm("a", "z1"), DataVm("b", "z1"), DataVm("c", "z2"),
          DataVm("d", "z3")};
}

}  // namespace

TEST_CASE("copies use three zones, and the writer's VM only as a last choice") {
  for (int key = 0; key < 50; ++key) {
    const std::vector<std::string> chosen =
        ChooseCopies(std::to_string(key), "x", FourVms(), {});
    REQUIRE(chosen.size() == 3);
    const std::set<std::string> ids(chosen.begin(), chosen.end());
    CHECK(ids.size() == 3);
    CHECK(ids.contains("c"));
    CHECK(ids.contains("d"));
    CHECK_FALSE(ChooseCopies(std::to_string(key), "d", FourVms(), {})[2] ==
                "d");
  }
  const std::vector<std::string> exclude = {"a", "b"};
  CHECK(ChooseCopies("k", "c", FourVms(), exclude) ==
        std::vector<std::string>{"d", "c"});
  std::vector<Member> draining = FourVms();
  draining[3].m_draining = true;
  for (const std::string& id : ChooseCopies("k", "x", draining, {})) {
    CHECK(id != "d");
  }
}

// Guards against counting the writer's own copy towards an acknowledgement: the
// record would be lost with the writer's VM and one more.
TEST_CASE("a record is acknowledged by two copies other than the writer's") {
  const std::vector<std::string> copies = {"a", "b", "c"};
  CHECK(AcknowledgedEnd(copies, std::vector<uint64_t>{9, 5, 0}, "x") == 5);
  CHECK(AcknowledgedEnd(copies, std::vector<uint64_t>{9, 5, 0}, "a") == 0);
  CHECK(AcknowledgedEnd(copies, std::vector<uint64_t>{0, 5, 7}, "a") == 5);
  const std::vector<std::string> two = {"a", "b"};
  CHECK(AcknowledgedEnd(two, std::vector<uint64_t>{9, 5}, "a") == 5);

  const std::vector<std::string> working = {"a", "b"};
  CHECK(CanAcknowledge(copies, working, "x"));
  CHECK_FALSE(CanAcknowledge(copies, working, "a"));
  CHECK(CanAcknowledge(two, working, "a"));
}

// Every set of copies that satisfies a recovery must intersect every set that
// may have acknowledged a record, and must leave the old writer too few copies
// to acknowledge more.
TEST_CASE("recovery quorums intersect acknowledgement quorums") {
  for (const size_t count : {size_t{2}, size_t{3}}) {
    const size_t need = RecoveryQuorum(count);
    for (unsigned queried = 0; queried < (1U << count); ++queried) {
      if (static_cast<size_t>(__builtin_popcount(queried)) < need) {
        continue;
      }
      for (unsigned holders = 0; holders < (1U << count); ++holders) {
        if (__builtin_popcount(holders) >= 2) {
          CHECK((queried & holders) != 0);
        }
      }
      CHECK(count - static_cast<size_t>(__builtin_popcount(queried)) < 2);
    }
  }
}

}  // namespace bronzecross
