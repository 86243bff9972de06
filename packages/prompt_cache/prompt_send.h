// Updates the prediction of cached prompts with the course of one attempt to
// run a request, and counts how many tokens were predicted as held.

#ifndef BRONZECROSS_PROMPT_CACHE_PROMPT_SEND_H_
#define BRONZECROSS_PROMPT_CACHE_PROMPT_SEND_H_

#include <cstdint>
#include <string_view>

#include "prompt_cache/prompt_cache_view.h"

namespace bronzecross {

class PromptSend {
 public:
  // Records the sending. The arguments must outlive this object. Nothing is
  // recorded for an empty prompt.
  PromptSend(PromptCacheView& view,
             uint32_t engine,
             int64_t memory_tokens,
             const PromptChain& prompt);
  PromptSend(const PromptSend&) = delete;
  PromptSend& operator=(const PromptSend&) = delete;

  // One of these is called when the attempt's first outcome is known.
  void OnResponse();
  void OnNotRun();
  // The engine may or may not have read the prompt.
  void OnFailure() const { Count("failed"); }

 private:
  void Count(std::string_view outcome) const;

  PromptCacheView& m_view;
  const uint32_t m_engine;
  const PromptChain& m_prompt;
  int64_t m_tokens = 0;            // of the prompt
  int64_t m_predicted_tokens = 0;  // predicted as held
};

}  // namespace bronzecross

#endif  // BRONZECROSS_PROMPT_CACHE_PROMPT_SEND_H_
