// Hashes of a prompt's first bytes at several lengths, and which upstreams
// lately had prompts with them. Hints only: an engine may have dropped a
// prefix.

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

// Hashes from the shortest to the longest prefix; empty for short prompts.
std::vector<uint64_t> PrefixHashes(std::string_view prompt);

// The prefixes that one upstream lately received; the oldest are dropped.
struct PrefixMemory {
  std::map<uint64_t, Millis> m_seen;
  std::deque<uint64_t> m_order;
};

void NotePrefix(PrefixMemory& memory, uint64_t hash, Millis now);

// Share of `hashes` that the upstream had within the last 5 minutes, 0 to 1.
double PrefixMatch(const PrefixMemory& memory,
                   std::span<const uint64_t> hashes,
                   Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_ROUTING_PROMPT_PREFIX_H_
