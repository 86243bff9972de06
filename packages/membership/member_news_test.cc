#include "membership/member_news.h"

#include <map>
#include <set>

#include <doctest/doctest.h>

namespace bronzecross {
namespace {

std::vector<Member> MakePeers(int count, Millis evidence) {
  std::vector<Member> peers;
  for (int i = 0; i < count; ++i) {
    Member& peer = peers.emplace_back();
    peer.m_id = "vm-" + std::to_string(i);
    peer.m_last_evidence = evidence;
  }
  return peers;
}

}  // namespace

// Guards against late news of a VM's earlier run that marks its present run as
// draining, or keeps it alive.
TEST_CASE("a new incarnation replaces the old one and old news is ignored") {
  Member member;
  CHECK(AcceptIncarnation(member, 5));
  member.m_last_heard = member.m_last_evidence = Millis(100);
  member.m_draining = true;
  CHECK(AcceptIncarnation(member, 5));
  CHECK(member.m_draining);
  CHECK(AcceptIncarnation(member, 6));
  CHECK_FALSE(member.m_draining);
  CHECK(member.m_last_evidence == Millis(0));
  CHECK_FALSE(AcceptIncarnation(member, 5));
  CHECK(member.m_incarnation == 6);
}

// Guards against a minority that takes itself for confirmed.
TEST_CASE("a majority includes this VM and needs more than half of all") {
  const Millis alone(7);
  CHECK(MajorityContactTime({}, alone) == alone);
  const std::vector<Millis> one = {Millis(0)};
  CHECK(MajorityContactTime(one, alone) == Millis(0));
  const std::vector<Millis> two = {Millis(5), Millis(0)};
  CHECK(MajorityContactTime(two, alone) == Millis(5));
  const std::vector<Millis> three = {Millis(9), Millis(0), Millis(0)};
  CHECK(MajorityContactTime(three, alone) == Millis(0));
  const std::vector<Millis> five = {Millis(9), Millis(4), Millis(0), Millis(6),
                                    Millis(8)};
  CHECK(MajorityContactTime(five, alone) == Millis(6));
}

// Guards against control traffic that grows with the fleet, and against two
// halves of a healed partition that never look at each other again.
TEST_CASE("a large fleet's contacts are a bounded sample and a silent VM") {
  Random random(1);
  const Millis now(100'000);
  CHECK(ChooseContacts("self", MakePeers(15, now), now, random).size() == 15);
  std::vector<Member> peers = MakePeers(200, now);
  CHECK(ChooseContacts("self", peers, now, random).size() == kSampleSize);
  for (size_t i = 0; i < 100; ++i) {
    peers[i].m_last_evidence = now - Millis(10'000);
  }
  std::set<std::string> probed;
  for (int i = 0; i < 2000; ++i) {
    const std::vector<std::string> contacts =
        ChooseContacts("self", peers, now, random);
    REQUIRE(contacts.size() == kSampleSize + 1);
    probed.insert(contacts.back());
  }
  CHECK(probed.size() == 100);
}

// Guards against a sample graph that splits the fleet.
TEST_CASE("news reaches every VM of a large fleet in a few rounds") {
  Random random(1);
  const Millis now(100'000);
  const std::vector<Member> all = MakePeers(1600, now);
  std::map<std::string, std::vector<std::string>> contacts;
  for (const Member& member : all) {
    contacts[member.m_id] = ChooseContacts(member.m_id, all, now, random);
  }
  std::set<std::string> told = {"vm-0"};
  int rounds = 0;
  while (told.size() < all.size() && rounds < 20) {
    ++rounds;
    std::set<std::string> next = told;
    for (const auto& [id, asked] : contacts) {
      for (const std::string& other : asked) {
        // An answer carries the news to the asker.
        if (told.contains(other)) {
          next.insert(id);
        }
      }
    }
    told = next;
  }
  CHECK(told.size() == all.size());
  CHECK(rounds <= 8);
}

}  // namespace bronzecross
