#include "dispatch/engine_memory.h"

#include <algorithm>

namespace bronzecross {
namespace {

// The part of the memory that is left for requests of which this VM doesn't
// know yet.
constexpr int64_t kReserveDivisor = 16;

// The tokens in flight are announced at once if less than this part is free.
constexpr int64_t kAnnounceDivisor = 2;

constexpr int64_t kMaxTokens = 100'000'000;

int64_t SlotShare(const EngineMemory& memory) {
  return memory.m_capacity / std::max(memory.m_slots, 1);
}

}  // namespace

int64_t BoundedTokens(int64_t tokens) {
  return std::clamp<int64_t>(tokens, 0, kMaxTokens);
}

int64_t FreeTokens(const EngineMemory& memory) {
  if (memory.m_capacity == 0) {
    return kNoTokenLimit;
  }
  const int64_t unknown = static_cast<int64_t>(
      memory.m_unknown_requests * static_cast<double>(SlotShare(memory)));
  return std::max<int64_t>(memory.m_capacity -
                               memory.m_capacity / kReserveDivisor -
                               memory.m_in_flight - unknown,
                           0);
}

bool FitsMemory(const CandidateLoad& load, int64_t tokens) {
  return tokens <= load.m_free_tokens || load.m_online + load.m_batch == 0;
}

bool FitsMemoryAsItem(const CandidateLoad& load,
                      const EngineMemory& memory,
                      int64_t tokens) {
  return memory.m_capacity == 0 || FitsMemory(load, tokens + SlotShare(memory));
}

bool ShouldAnnounceTokens(const EngineMemory& memory) {
  return memory.m_capacity > 0 &&
         memory.m_in_flight >
             memory.m_capacity - memory.m_capacity / kAnnounceDivisor;
}

}  // namespace bronzecross
