// Hashes prompt prefixes of several lengths and records which upstreams
// recently received them. The result is a hint only: an engine may have evicted
// a prefix from its cache.

#ifndef BRONZECROSS_ROUTING_PROMPT_PREFIX_H_
#define BRONZECROSS_ROUTING_PROMPT_PREFIX_H_

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace bronzecross {

// Returns the hashes from the shortest to the longest prefix; empty for prompts
// shorter than 64 bytes.
std::vector<uint64_t> PrefixHashes(std::string_view prompt);

// The prefixes that one upstream recently received; the oldest are evicted
// first.
struct PrefixHistory {
  std::map<uint64_t, Millis> m_seen;  // hash to the time of the last prompt
  std::deque<uint64_t> m_order;       // hashes in order of insertion
};

void RecordPrefix(PrefixHistory& history, uint64_t hash, Millis now);

// Returns the fraction of `hashes`, 0 to 1, that the upstream received within
// the last 5 minutes, counted from the shortest prefix to the first miss.
double PrefixMatch(const PrefixHistory& history,
                   std::span<const uint64_t> hashes,
                   Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_ROUTING_PROMPT_PREFIX_H_
