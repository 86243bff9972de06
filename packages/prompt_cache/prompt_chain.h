// The prefixes of a prompt, as engines cache them: a part is reused only behind
// the same parts, so a part is identified by the hash of all parts up to it.

#ifndef BRONZECROSS_PROMPT_CACHE_PROMPT_CHAIN_H_
#define BRONZECROSS_PROMPT_CACHE_PROMPT_CHAIN_H_

#include <cstdint>
#include <span>

#include <absl/container/inlined_vector.h>

#include "platform/request_headers.h"

namespace bronzecross {

// One part of a prompt behind all parts before it.
struct ChainedPart {
  uint32_t m_prefix = 0;  // hash of the ids of all parts up to this one
  int64_t m_tokens = 0;   // of this part alone
  // Whether the prompts of other requests may have this part. False for the
  // last one, which belongs to one request or session.
  bool m_shared = false;
};

// The parts of a prompt in order.
using PromptChain = absl::InlinedVector<ChainedPart, platform::kMaxPromptParts>;

// `has_all_parts`: whether `parts` ends with the last part of the prompt.
PromptChain ChainParts(std::span<const platform::PromptPart> parts,
                       bool has_all_parts);

}  // namespace bronzecross

#endif  // BRONZECROSS_PROMPT_CACHE_PROMPT_CHAIN_H_
