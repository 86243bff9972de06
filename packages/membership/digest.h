// What one VM passes on about the others in its answers to heartbeats.

#ifndef BRONZECROSS_MEMBERSHIP_DIGEST_H_
#define BRONZECROSS_MEMBERSHIP_DIGEST_H_

#include <cstdint>
#include <span>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "membership/member.h"

namespace bronzecross {

// Ages in the short form count in steps of this length, rounded up.
inline constexpr Millis kDigestAgeStep{200};

// Covers ids, incarnations and announcements of `members`, in id order. Two VMs
// with the same value can use the short form.
uint32_t MembersHash(std::span<Member* const> members);

// The digest for a VM whose members' hash is `asker_hash`. The short form has
// half a byte for each member, its age in steps; the long form, used while the
// two VMs know different things, names up to kLongDigestEntries members.
// `members` must be in id order and contain the answering VM.
nlohmann::json MakeDigest(std::span<Member* const> members,
                          uint32_t asker_hash,
                          Millis now,
                          uint64_t first);

// Adds to `members` what `digest` tells; `sent` is when the heartbeat was sent
// that it answers, so no age counts from a later moment. `own_hash` is the hash
// that went with the heartbeat; a short form is dropped if the members have
// changed since. Throws nlohmann::json::exception on a damaged digest.
void TakeDigest(const nlohmann::json& digest,
                uint32_t own_hash,
                Millis sent,
                std::span<Member* const> members);

inline constexpr size_t kLongDigestEntries = 16;

}  // namespace bronzecross

#endif  // BRONZECROSS_MEMBERSHIP_DIGEST_H_
