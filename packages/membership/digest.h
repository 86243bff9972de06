// Liveness digest that a VM includes in its heartbeat replies: what it knows
// about all other members.

#ifndef BRONZECROSS_MEMBERSHIP_DIGEST_H_
#define BRONZECROSS_MEMBERSHIP_DIGEST_H_

#include <cstdint>
#include <span>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "membership/member.h"

namespace bronzecross {

// Granularity of the ages in the short form; ages are rounded up.
inline constexpr Millis kDigestAgeStep{200};

// Hashes the ids, incarnations and flags of `members`, which must be in id
// order. The short form can be used between two VMs that have the same hash.
uint32_t MembersHash(std::span<Member* const> members);

// Returns the digest for a VM whose members' hash is `requester_hash`. The
// short form stores the age of each member in 4 bits, in units of
// kDigestAgeStep. The long form, used while the two VMs' views of the members
// differ, lists up to kMaxLongFormEntries members, starting at index `first`
// modulo their number. `members` must be in id order and contain the local VM.
nlohmann::json MakeDigest(std::span<Member* const> members,
                          uint32_t requester_hash,
                          Millis now,
                          uint64_t first);

// Merges `digest` into `members`. `sent` is the time at which the heartbeat
// that it replies to was sent; ages are subtracted from it, so that no member
// appears more recently alive than it is. `own_hash` is the hash that was sent
// with the heartbeat; a short form is dropped if the members have changed
// since. Throws nlohmann::json::exception if the digest is malformed.
void MergeDigest(const nlohmann::json& digest,
                 uint32_t own_hash,
                 Millis sent,
                 std::span<Member* const> members);

inline constexpr size_t kMaxLongFormEntries = 16;

}  // namespace bronzecross

#endif  // BRONZECROSS_MEMBERSHIP_DIGEST_H_
