// Rendezvous hashing: all VMs rank the members for a key identically, and a
// change of membership moves only the keys of the member concerned.

#ifndef BRONZECROSS_MEMBERSHIP_RENDEZVOUS_H_
#define BRONZECROSS_MEMBERSHIP_RENDEZVOUS_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "membership/member.h"

namespace bronzecross {

// Returns the ids of `members` in order of preference for `key`.
std::vector<std::string> RankMembers(std::string_view key,
                                     std::span<const Member> members);

// Returns the preferred member for `key`; empty if there are no members.
std::string FirstMember(std::string_view key, std::span<const Member> members);

}  // namespace bronzecross

#endif  // BRONZECROSS_MEMBERSHIP_RENDEZVOUS_H_
