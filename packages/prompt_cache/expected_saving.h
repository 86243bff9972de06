// Estimates the time that an engine saves if it holds the start of a prompt.

#ifndef BRONZECROSS_PROMPT_CACHE_EXPECTED_SAVING_H_
#define BRONZECROSS_PROMPT_CACHE_EXPECTED_SAVING_H_

#include <cstdint>
#include <span>

#include <absl/container/inlined_vector.h>

#include "base/clock.h"
#include "platform/request_headers.h"

namespace bronzecross {

// A part of a prompt that an engine probably holds.
struct HeldPart {
  int64_t m_tokens = 0;
  // Time since the last response for a prompt with this part or, if there was
  // none, since such a prompt was sent.
  Millis m_age;
  bool m_confirmed = false;  // whether there was a response
  // Number of the candidate engines that probably hold it, this one included.
  int m_holders = 1;
};

using HeldParts = absl::InlinedVector<HeldPart, platform::kMaxPromptParts>;

// State of an engine that a saving depends on.
struct PrefillState {
  double m_tokens_per_ms = 0;  // prefill speed; zero: unknown
  bool m_slow = false;
  bool m_full = false;  // no slot is free
};

// Knowledge of this age or more is not used.
inline constexpr Millis kMaxHeldAge{120'000};

// Returns the expected saving at an engine that probably holds `held`, the
// parts from the start of the prompt. Uncertain knowledge counts for less, and
// so does a part of several engines: it is popular, so that a further engine
// that reads it saves that time for the requests that follow. Zero for a slow
// or full engine, so that no request waits for a cached prompt.
double ExpectedSavedMs(std::span<const HeldPart> held,
                       const PrefillState& engine);

}  // namespace bronzecross

#endif  // BRONZECROSS_PROMPT_CACHE_EXPECTED_SAVING_H_
