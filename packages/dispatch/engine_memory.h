// Whether a request's tokens fit into the memory of an engine, which crashes if
// the requests that it holds exceed it.

#ifndef BRONZECROSS_DISPATCH_ENGINE_MEMORY_H_
#define BRONZECROSS_DISPATCH_ENGINE_MEMORY_H_

#include <cstdint>

#include "dispatch/pick_upstream.h"

namespace bronzecross {

// Memory of an engine and the requests in flight there, all in tokens.
struct EngineMemory {
  int64_t m_capacity = 0;  // 0: unknown
  int64_t m_in_flight = 0;
  // Estimate of the requests of VMs that this VM doesn't hear of.
  double m_unknown_requests = 0;
  int m_slots = 0;
};

// Returns the token count of a batch item within bounds, so that sums over many
// items don't overflow.
int64_t BoundedTokens(int64_t tokens);

// Returns the tokens that may be placed beside those in flight; kNoTokenLimit
// if the memory is unknown. A part of the memory is left for the requests that
// other VMs place before this VM hears of them.
int64_t FreeTokens(const EngineMemory& memory);

// Returns whether a request fits beside those in flight. Where nothing runs,
// every request does.
bool FitsMemory(const CandidateLoad& load, int64_t tokens);

// Like FitsMemory() for a batch item, which leaves the share of one slot to
// online requests.
bool FitsMemoryAsItem(const CandidateLoad& load,
                      const EngineMemory& memory,
                      int64_t tokens);

// Returns whether the other VMs should be notified at once of the tokens in
// flight, since they might exceed the memory together with this VM.
bool ShouldAnnounceTokens(const EngineMemory& memory);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_ENGINE_MEMORY_H_
