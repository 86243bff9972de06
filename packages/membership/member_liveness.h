// Liveness of members: which incarnation is current, which members are live,
// and which members the local VM sends heartbeats to.

#ifndef BRONZECROSS_MEMBERSHIP_MEMBER_LIVENESS_H_
#define BRONZECROSS_MEMBERSHIP_MEMBER_LIVENESS_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "membership/member.h"

namespace bronzecross {

// A VM that is not known to have been alive within this time is not live.
inline constexpr Millis kLivenessTimeout{1500};

// With more known VMs than this, each VM sends heartbeats to a sample only.
inline constexpr size_t kFullMeshLimit = 16;
// Size of the sample, without the one unresponsive VM that is probed. A random
// graph with 8 outgoing edges for each of 1,600 vertices is connected with
// overwhelming probability, also when a zone's vertices are missing.
inline constexpr size_t kSampleSize = 8;

// Sets the incarnation of `member` to `incarnation`. A higher one resets the
// state of the earlier run. Returns false if `incarnation` is that of an
// earlier run, whose messages must be ignored.
bool AcceptIncarnation(Member& member, int64_t incarnation);

bool IsLive(const Member& member, Millis now);

// The ids of the VMs that `self` sends heartbeats to: all of `peers` in a small
// fleet, else the first kSampleSize by rendezvous hash that are live or were
// never seen, and one unresponsive VM, so that a healed partition is noticed.
std::vector<std::string> ChooseHeartbeatTargets(std::string_view self,
                                                std::span<const Member> peers,
                                                Millis now,
                                                Random& random);

// The latest time since which more than half of the VMs have been seen.
// `last_contacts` holds the time of each other VM (zero: never); this VM counts
// as one more. `alone` is returned if there are no others.
Millis MajorityContactTime(std::span<const Millis> last_contacts, Millis alone);

// Returns the time between two heartbeats to one VM: at least `min_interval`,
// and long enough that all `targets` together get at most `max_per_s`.
Millis HeartbeatInterval(Millis min_interval,
                         size_t targets,
                         int64_t max_per_s);

}  // namespace bronzecross

#endif  // BRONZECROSS_MEMBERSHIP_MEMBER_LIVENESS_H_
