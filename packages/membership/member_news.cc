#include "membership/member_news.h"

#include <algorithm>

#include "membership/rendezvous.h"

namespace bronzecross {

bool AcceptIncarnation(Member& member, int64_t incarnation) {
  if (incarnation < member.m_incarnation) {
    return false;
  }
  if (incarnation > member.m_incarnation) {
    member.m_incarnation = incarnation;
    member.m_last_heard = Millis(0);
    member.m_last_evidence = Millis(0);
    member.m_draining = false;
    member.m_has_data_dir = false;
  }
  return true;
}

bool IsLive(const Member& member, Millis now) {
  return member.m_last_evidence != Millis(0) &&
         now - member.m_last_evidence <= kSuspectAfter;
}

std::vector<std::string> ChooseContacts(std::string_view self,
                                        std::span<const Member> peers,
                                        Millis now,
                                        Random& random) {
  std::vector<std::string> contacts;
  if (peers.size() + 1 <= kFullMeshLimit) {
    for (const Member& peer : peers) {
      contacts.push_back(peer.m_id);
    }
    return contacts;
  }
  std::vector<Member> candidates;
  std::vector<const Member*> silent;
  for (const Member& peer : peers) {
    if (IsLive(peer, now) || peer.m_last_evidence == Millis(0)) {
      candidates.push_back(peer);
    } else {
      silent.push_back(&peer);
    }
  }
  contacts = RankMembers(self, candidates);
  contacts.resize(std::min(contacts.size(), kSampleSize));
  if (!silent.empty()) {
    contacts.push_back(silent[RandomBelow(random, silent.size())]->m_id);
  }
  return contacts;
}

Millis MajorityContactTime(std::span<const Millis> heard, Millis alone) {
  if (heard.empty()) {
    return alone;
  }
  // Of n VMs, n / 2 others and this one are a majority.
  const size_t others = (heard.size() + 1) / 2;
  std::vector<Millis> latest(heard.begin(), heard.end());
  std::sort(latest.rbegin(), latest.rend());
  return latest[others - 1];
}

Millis HeartbeatInterval(Millis shortest, size_t contacts, int64_t max_per_s) {
  const int64_t spread_ms = static_cast<int64_t>(contacts) * 1000 / max_per_s;
  return std::max(shortest, Millis(spread_ms));
}

}  // namespace bronzecross
