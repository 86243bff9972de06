#include "prompt_cache/prompt_send.h"

#include "base/metrics.h"

namespace bronzecross {

PromptSend::PromptSend(PromptCacheView& view,
                       uint32_t engine,
                       int64_t memory_tokens,
                       const PromptChain& prompt)
    : m_view(view), m_engine(engine), m_prompt(prompt) {
  if (prompt.empty()) {
    return;
  }
  const Millis now = MonotonicNow();
  for (const ChainedPart& part : prompt) {
    m_tokens += part.m_tokens;
  }
  for (const HeldPart& part : view.Find(engine, prompt, now)) {
    m_predicted_tokens += part.m_tokens;
  }
  view.OnSent(engine, memory_tokens, prompt, now);
}

void PromptSend::OnResponse() {
  if (!m_prompt.empty()) {
    m_view.OnResponse(m_engine, m_prompt, MonotonicNow());
    Count("answered");
  }
}

void PromptSend::OnNotRun() {
  if (!m_prompt.empty()) {
    m_view.OnNotRun(m_engine, m_prompt);
    Count("not_run");
  }
}

void PromptSend::Count(std::string_view outcome) const {
  if (!m_prompt.empty()) {
    CountMetric("bronzecross_prompt_tokens_sent_total", {{"outcome", outcome}},
                static_cast<double>(m_tokens));
    CountMetric("bronzecross_prompt_tokens_predicted_held_total",
                {{"outcome", outcome}},
                static_cast<double>(m_predicted_tokens));
  }
}

}  // namespace bronzecross
