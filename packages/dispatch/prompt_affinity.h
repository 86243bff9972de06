// Prefers upstreams that probably hold the start of a prompt in their cache.

#ifndef BRONZECROSS_DISPATCH_PROMPT_AFFINITY_H_
#define BRONZECROSS_DISPATCH_PROMPT_AFFINITY_H_

#include <cstdint>
#include <span>

#include "dispatch/pick_upstream.h"
#include "prompt_cache/prompt_cache_view.h"

namespace bronzecross {

struct PromptAffinity {
  // Null if cached prompts are not considered.
  const PromptCacheView* m_view = nullptr;
  double m_prefill_tokens_per_ms = 0;
};

// Sets m_saved_ms of each candidate to the saving that is expected for a
// request with this prompt; zero where this VM recently sent more than its
// share of the requests. `run_keys` are the EngineRunKey of the candidates.
void SetSavings(const PromptAffinity& affinity,
                std::span<const uint32_t> run_keys,
                const PromptChain& prompt,
                std::span<CandidateLoad> loads,
                Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_PROMPT_AFFINITY_H_
