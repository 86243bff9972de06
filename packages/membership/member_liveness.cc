#include "membership/member_liveness.h"

#include <algorithm>

#include "membership/rendezvous.h"

namespace bronzecross {

bool AcceptIncarnation(Member& member, int64_t incarnation) {
  if (incarnation < member.m_incarnation) {
    return false;
  }
  if (incarnation > member.m_incarnation) {
    member.m_incarnation = incarnation;
    member.m_last_seen = Millis(0);
    member.m_last_known_alive = Millis(0);
    member.m_draining = false;
    member.m_has_data_dir = false;
  }
  return true;
}

bool IsLive(const Member& member, Millis now) {
  return member.m_last_known_alive != Millis(0) &&
         now - member.m_last_known_alive <= kLivenessTimeout;
}

std::vector<std::string> ChooseHeartbeatTargets(std::string_view self,
                                                std::span<const Member> peers,
                                                Millis now,
                                                Random& random) {
  std::vector<std::string> targets;
  if (peers.size() + 1 <= kFullMeshLimit) {
    for (const Member& peer : peers) {
      targets.push_back(peer.m_id);
    }
    return targets;
  }
  std::vector<Member> candidates;
  std::vector<const Member*> unresponsive;
  for (const Member& peer : peers) {
    if (IsLive(peer, now) || peer.m_last_known_alive == Millis(0)) {
      candidates.push_back(peer);
    } else {
      unresponsive.push_back(&peer);
    }
  }
  targets = RankMembers(self, candidates);
  targets.resize(std::min(targets.size(), kSampleSize));
  if (!unresponsive.empty()) {
    targets.push_back(
        unresponsive[RandomBelow(random, unresponsive.size())]->m_id);
  }
  return targets;
}

Millis MajorityContactTime(std::span<const Millis> last_contacts,
                           Millis alone) {
  if (last_contacts.empty()) {
    return alone;
  }
  // Of n VMs, n / 2 others (rounded down) and the local VM form a majority.
  const size_t others = (last_contacts.size() + 1) / 2;
  std::vector<Millis> latest(last_contacts.begin(), last_contacts.end());
  std::sort(latest.rbegin(), latest.rend());
  return latest[others - 1];
}

Millis HeartbeatInterval(Millis min_interval,
                         size_t targets,
                         int64_t max_per_s) {
  const int64_t spread_ms = static_cast<int64_t>(targets) * 1000 / max_per_s;
  return std::max(min_interval, Millis(spread_ms));
}

}  // namespace bronzecross
