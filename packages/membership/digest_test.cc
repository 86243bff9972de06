#include "membership/digest.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace bronzecross {
namespace {

constexpr Millis kNow(100'000);

std::vector<Member> MakeMembers(int count) {
  std::vector<Member> members;
  for (int i = 0; i < count; ++i) {
    Member& member = members.emplace_back();
    member.m_id = "vm-" + std::to_string(100 + i);
    member.m_incarnation = 7;
    member.m_last_known_alive = kNow - Millis(130 * i);
  }
  return members;
}

std::vector<Member*> Pointers(std::vector<Member>& members) {
  std::vector<Member*> pointers;
  for (Member& member : members) {
    pointers.push_back(&member);
  }
  return pointers;
}

}  // namespace

// Guards against a digest that makes a VM look more recently alive than it is.
TEST_CASE("the short form is small and never understates an age") {
  std::vector<Member> remote = MakeMembers(32);
  std::vector<Member> local = remote;
  for (Member& member : local) {
    member.m_last_known_alive = Millis(1);
  }
  const uint32_t hash = MembersHash(Pointers(local));
  const nlohmann::json digest = MakeDigest(Pointers(remote), hash, kNow, 0);
  REQUIRE(digest.is_binary());
  CHECK(digest.get_binary().size() == 16);
  const Millis sent = kNow - Millis(50);
  MergeDigest(digest, hash, sent, Pointers(local));
  for (size_t i = 0; i < local.size(); ++i) {
    CHECK(local[i].m_last_known_alive <= remote[i].m_last_known_alive);
    if (130 * i < 2800) {
      CHECK(local[i].m_last_known_alive >=
            remote[i].m_last_known_alive - kDigestAgeStep - Millis(50));
    }
  }
}

// Guards against assigning the ages of a short form to the wrong members.
TEST_CASE("a short form is dropped when the members have changed") {
  std::vector<Member> remote = MakeMembers(20);
  std::vector<Member> local = remote;
  local[3].m_last_known_alive = Millis(1);
  const uint32_t hash = MembersHash(Pointers(local));
  const nlohmann::json digest = MakeDigest(Pointers(remote), hash, kNow, 0);
  local[3].m_incarnation = 8;
  MergeDigest(digest, hash, kNow, Pointers(local));
  CHECK(local[3].m_last_known_alive == Millis(1));
}

TEST_CASE(
    "the long form applies a newer incarnation and ignores an older one") {
  std::vector<Member> remote = MakeMembers(4);
  std::vector<Member> local = remote;
  remote[1].m_incarnation = 9;
  remote[1].m_draining = true;
  remote[2].m_incarnation = 5;
  local[1].m_last_known_alive = local[2].m_last_known_alive = Millis(1);
  const uint32_t hash = MembersHash(Pointers(local));
  const nlohmann::json digest = MakeDigest(Pointers(remote), hash, kNow, 0);
  REQUIRE(digest.is_array());
  MergeDigest(digest, hash, kNow, Pointers(local));
  CHECK(local[1].m_incarnation == 9);
  CHECK(local[1].m_draining);
  CHECK(local[2].m_incarnation == 7);
  CHECK(local[2].m_last_known_alive == Millis(1));
}

}  // namespace bronzecross
