#include "membership/member_liveness.h"

#include <map>
#include <set>

#include <doctest/doctest.h>

namespace bronzecross {
namespace {

std::vector<Member> MakePeers(int count, Millis last_known_alive) {
  std::vector<Member> peers;
  for (int i = 0; i < count; ++i) {
    Member& peer = peers.emplace_back();
    peer.m_id = "vm-" + std::to_string(i);
    peer.m_last_known_alive = last_known_alive;
  }
  return peers;
}

}  // namespace

// Guards against a delayed message from a VM's earlier run that marks the
// current run as draining or as live.
TEST_CASE("a higher incarnation replaces a lower one, which is then ignored") {
  Member member;
  CHECK(AcceptIncarnation(member, 5));
  member.m_last_seen = member.m_last_known_alive = Millis(100);
  member.m_draining = true;
  CHECK(AcceptIncarnation(member, 5));
  CHECK(member.m_draining);
  CHECK(AcceptIncarnation(member, 6));
  CHECK_FALSE(member.m_draining);
  CHECK(member.m_last_known_alive == Millis(0));
  CHECK_FALSE(AcceptIncarnation(member, 5));
  CHECK(member.m_incarnation == 6);
}

// Guards against a minority that is taken for a majority.
TEST_CASE("a majority is more than half of all VMs, including the local one") {
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

// Guards against heartbeat traffic that grows with the fleet size, and against
// two sides of a healed partition that never send heartbeats to each other
// again.
TEST_CASE("heartbeat targets are a bounded sample and one unresponsive VM") {
  Random random(1);
  const Millis now(100'000);
  CHECK(
      ChooseHeartbeatTargets("self", MakePeers(15, now), now, random).size() ==
      15);
  std::vector<Member> peers = MakePeers(200, now);
  CHECK(ChooseHeartbeatTargets("self", peers, now, random).size() ==
        kSampleSize);
  for (size_t i = 0; i < 100; ++i) {
    peers[i].m_last_known_alive = now - Millis(10'000);
  }
  std::set<std::string> probed;
  for (int i = 0; i < 2000; ++i) {
    const std::vector<std::string> targets =
        ChooseHeartbeatTargets("self", peers, now, random);
    REQUIRE(targets.size() == kSampleSize + 1);
    probed.insert(targets.back());
  }
  CHECK(probed.size() == 100);
}

// Guards against a heartbeat graph that is not connected.
TEST_CASE("gossip reaches every VM of a large fleet in at most 8 rounds") {
  Random random(1);
  const Millis now(100'000);
  const std::vector<Member> all = MakePeers(1600, now);
  std::map<std::string, std::vector<std::string>> targets;
  for (const Member& member : all) {
    targets[member.m_id] =
        ChooseHeartbeatTargets(member.m_id, all, now, random);
  }
  std::set<std::string> informed = {"vm-0"};
  int rounds = 0;
  while (informed.size() < all.size() && rounds < 20) {
    ++rounds;
    std::set<std::string> next = informed;
    for (const auto& [id, targets_of_id] : targets) {
      for (const std::string& other : targets_of_id) {
        // The reply to a heartbeat carries the gossip to its sender.
        if (informed.contains(other)) {
          next.insert(id);
        }
      }
    }
    informed = next;
  }
  CHECK(informed.size() == all.size());
  CHECK(rounds <= 8);
}

}  // namespace bronzecross
