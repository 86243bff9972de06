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
    member.m_last_evidence = kNow - Millis(130 * i);
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

// Guards against a digest that makes a VM look fresher than it is.
TEST_CASE("the short form is small and never younger than the truth") {
  std::vector<Member> told = MakeMembers(32);
  std::vector<Member> own = told;
  for (Member& member : own) {
    member.m_last_evidence = Millis(1);
  }
  const uint32_t hash = MembersHash(Pointers(own));
  const nlohmann::json digest = MakeDigest(Pointers(told), hash, kNow, 0);
  REQUIRE(digest.is_binary());
  CHECK(digest.get_binary().size() == 16);
  const Millis sent = kNow - Millis(50);
  TakeDigest(digest, hash, sent, Pointers(own));
  for (size_t i = 0; i < own.size(); ++i) {
    CHECK(own[i].m_last_evidence <= told[i].m_last_evidence);
    if (130 * i < 2800) {
      CHECK(own[i].m_last_evidence >=
            told[i].m_last_evidence - kDigestAgeStep - Millis(50));
    }
  }
}

// Guards against a VM that takes the ages of other members for its own.
TEST_CASE("a short form is dropped when the members have changed") {
  std::vector<Member> told = MakeMembers(20);
  std::vector<Member> own = told;
  own[3].m_last_evidence = Millis(1);
  const uint32_t hash = MembersHash(Pointers(own));
  const nlohmann::json digest = MakeDigest(Pointers(told), hash, kNow, 0);
  own[3].m_incarnation = 8;
  TakeDigest(digest, hash, kNow, Pointers(own));
  CHECK(own[3].m_last_evidence == Millis(1));
}

TEST_CASE("the long form brings a new incarnation and ignores an old one") {
  std::vector<Member> told = MakeMembers(4);
  std::vector<Member> own = told;
  told[1].m_incarnation = 9;
  told[1].m_draining = true;
  told[2].m_incarnation = 5;
  own[1].m_last_evidence = own[2].m_last_evidence = Millis(1);
  const uint32_t hash = MembersHash(Pointers(own));
  const nlohmann::json digest = MakeDigest(Pointers(told), hash, kNow, 0);
  REQUIRE(digest.is_array());
  TakeDigest(digest, hash, kNow, Pointers(own));
  CHECK(own[1].m_incarnation == 9);
  CHECK(own[1].m_draining);
  CHECK(own[2].m_incarnation == 7);
  CHECK(own[2].m_last_evidence == Millis(1));
}

}  // namespace bronzecross
