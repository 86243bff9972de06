// Decisions on news about members: which incarnation counts, who is live, and
// which members this VM sends heartbeats to.

#ifndef BRONZECROSS_MEMBERSHIP_MEMBER_NEWS_H_
#define BRONZECROSS_MEMBERSHIP_MEMBER_NEWS_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "membership/member.h"

namespace bronzecross {

// A VM that has given no sign of life for this long is not live.
inline constexpr Millis kSuspectAfter{1500};

// With more known VMs than this, each VM sends heartbeats to a sample only.
inline constexpr size_t kFullMeshLimit = 16;
// The size of the sample, without the one silent VM that is probed. A random
// graph with 8 outgoing edges for each of 1,600 vertices is connected with
// overwhelming probability, also when a zone's vertices are missing.
inline constexpr size_t kSampleSize = 8;

// Takes over `incarnation` for `member`. A higher one replaces all that was
// known of the run before. Returns false if the news is about an earlier run
// and must be ignored.
bool AcceptIncarnation(Member& member, int64_t incarnation);

bool IsLive(const Member& member, Millis now);

// The ids of the VMs that `self` sends heartbeats to: all of `peers` in a small
// fleet, else the first kSampleSize by rendezvous hash that are live or were
// never heard from, and one silent VM, so that a healed partition is noticed.
std::vector<std::string> ChooseContacts(std::string_view self,
                                        std::span<const Member> peers,
                                        Millis now,
                                        Random& random);

// The latest time since which more than half of the VMs have given a sign of
// life: `heard` holds the time of each other VM (zero: never), this VM counts
// as one more. `alone` is returned if there are no others.
Millis MajorityContactTime(std::span<const Millis> heard, Millis alone);

// The time between two heartbeats to one VM, so that all `contacts` together
// get at most `max_per_s`.
Millis HeartbeatInterval(Millis shortest, size_t contacts, int64_t max_per_s);

}  // namespace bronzecross

#endif  // BRONZECROSS_MEMBERSHIP_MEMBER_NEWS_H_
