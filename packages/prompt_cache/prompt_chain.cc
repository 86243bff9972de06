#include "prompt_cache/prompt_chain.h"

#include <string_view>

#include "base/hash.h"

namespace bronzecross {

PromptChain ChainParts(std::span<const platform::PromptPart> parts,
                       bool has_all_parts) {
  PromptChain chain;
  uint64_t hash = 0;
  for (size_t i = 0; i < parts.size(); ++i) {
    const uint64_t part = parts[i].m_hash;
    hash = Hash64(
        std::string_view(reinterpret_cast<const char*>(&part), sizeof(part)),
        hash);
    const bool is_last = has_all_parts && i + 1 == parts.size();
    chain.push_back({static_cast<uint32_t>(hash), parts[i].m_tokens, !is_last});
  }
  return chain;
}

}  // namespace bronzecross
