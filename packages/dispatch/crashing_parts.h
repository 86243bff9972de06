// Finds the prompt part that crashes each upstream that begins to answer a
// request with it. Such requests differ in all else, and come at any VM. Every
// VM collects the crashes that it and its peers have seen; complete responses
// to requests with a part exonerate it.

#ifndef BRONZECROSS_DISPATCH_CRASHING_PARTS_H_
#define BRONZECROSS_DISPATCH_CRASHING_PARTS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "base/clock.h"

namespace bronzecross {

// An upstream that crashed while it began to answer a request.
struct PartCrash {
  uint32_t m_upstream = 0;  // ShortHash of its id
  Millis m_at;
  // Hashes of the request's shared parts, in the order of the prompt.
  std::vector<uint32_t> m_parts;
  bool m_is_own = false;  // seen by this VM, not by a peer
};

struct CrashingParts {
  // In order of arrival, bounded.
  std::deque<PartCrash> m_crashes;
  // Time of the last complete response to a request with the part, bounded.
  std::map<uint32_t, Millis> m_completions;
  // Blamed parts and the first crash that counts against each. No entry is
  // older than the last completion of its part.
  std::map<uint32_t, Millis> m_blamed;
  // Parts that a peer blames although they completed since, and when the last
  // such report arrived.
  std::map<uint32_t, Millis> m_disputed;
};

// Records a crash, unless it is known. Returns whether it is new.
bool RecordCrash(CrashingParts& parts, PartCrash crash);
// Records a complete response to a request with the given parts. None of them
// is to blame for crashes before.
void RecordCompletion(CrashingParts& parts,
                      std::span<const uint32_t> completed,
                      Millis at);
// Records that a peer blames a part for crashes since `since`. The part is
// disputed if it has completed after that. Returns whether it wasn't blamed
// before and is now.
bool RecordBlame(CrashingParts& parts, uint32_t part, Millis since, Millis now);

// Time that peers have to report complete responses after a crash, before it
// counts against a part.
inline constexpr Millis kCrashSettleTime{1'400};

// Blames the parts that the crashes up to kCrashSettleTime before `now` point
// to, and returns those that weren't blamed before. A part that crashed several
// upstreams in a short burst, and didn't complete within kCrashSettleTime after
// it, is blamed at once when it crashes another. Of several suspects of the
// same crashes only one is blamed: first one that has never completed, then the
// one in more crashes, then the one further back in the prompt, which fewer
// requests share.
std::vector<uint32_t> BlameParts(CrashingParts& parts, Millis now);

// Returns the parts of several recent crashes that completed after one of them,
// at most `max`.
std::vector<uint32_t> FindExonerated(const CrashingParts& parts,
                                     Millis now,
                                     size_t max);

// Returns the first of a request's parts that is blamed.
std::optional<uint32_t> FindBlamed(const CrashingParts& parts,
                                   std::span<const uint32_t> request);

// Removes what is too old to count.
void Expire(CrashingParts& parts, Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_CRASHING_PARTS_H_
