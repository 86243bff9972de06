#include "ledger/replication_rules.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <set>

#include "membership/rendezvous.h"

namespace bronzecross {
namespace {

bool Contains(std::span<const std::string> ids, std::string_view id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

const Member& FindMember(std::span<const Member> members, std::string_view id) {
  const auto found =
      std::find_if(members.begin(), members.end(),
                   [id](const Member& member) { return member.m_id == id; });
  assert(found != members.end());
  return *found;
}

}  // namespace

std::vector<std::string> ChooseCopies(std::string_view key,
                                      std::string_view writer_vm,
                                      std::span<const Member> live,
                                      std::span<const std::string> exclude) {
  std::vector<Member> candidates;
  for (const Member& member : live) {
    if (member.m_has_data_dir && !member.m_draining &&
        member.m_id != writer_vm && !Contains(exclude, member.m_id)) {
      candidates.push_back(member);
    }
  }
  std::vector<std::string> ranked = RankMembers(key, candidates);
  for (const Member& member : live) {
    if (member.m_id == writer_vm && member.m_has_data_dir &&
        !member.m_draining && !Contains(exclude, writer_vm)) {
      ranked.push_back(std::string(writer_vm));
    }
  }
  std::vector<std::string> chosen;
  std::set<std::string> zones;
  const bool enough_others = candidates.size() >= kLedgerCopies;
  for (const bool new_zone_only : {true, false}) {
    for (const std::string& id : ranked) {
      if (chosen.size() == kLedgerCopies || Contains(chosen, id) ||
          (enough_others && id == writer_vm)) {
        continue;
      }
      const std::string& zone = FindMember(live, id).m_availability_zone;
      if (!new_zone_only || !zones.contains(zone)) {
        zones.insert(zone);
        chosen.push_back(id);
      }
    }
  }
  return chosen;
}

bool CanAcknowledge(std::span<const std::string> copies,
                    std::span<const std::string> working,
                    std::string_view writer_vm) {
  if (copies.size() < kLedgerCopies) {
    return copies.size() == 2 && working.size() == 2;
  }
  return working.size() - (Contains(working, writer_vm) ? 1 : 0) >= 2;
}

uint64_t AcknowledgedEnd(std::span<const std::string> copies,
                         std::span<const uint64_t> durable_ends,
                         std::string_view writer_vm) {
  assert(copies.size() == durable_ends.size() && copies.size() >= 2);
  if (copies.size() < kLedgerCopies) {
    return *std::min_element(durable_ends.begin(), durable_ends.end());
  }
  std::vector<uint64_t> others;
  for (size_t i = 0; i < copies.size(); ++i) {
    if (copies[i] != writer_vm) {
      others.push_back(durable_ends[i]);
    }
  }
  std::sort(others.begin(), others.end(), std::greater<>());
  return others[1];
}

size_t RecoveryQuorum(size_t copies) {
  return copies > 1 ? copies - 1 : 1;
}

}  // namespace bronzecross
