#include "prompt_cache/expected_saving.h"

#include <algorithm>
#include <cmath>

namespace bronzecross {
namespace {

// The probability that an engine still holds a part halves in this time, since
// other VM groups send it prompts of which this VM doesn't know.
constexpr Millis kHalfLife{60'000};

// Probability that a part is held at an engine that was sent a prompt with it
// and has not responded yet.
constexpr double kUnconfirmedWeight = 0.5;

}  // namespace

double ExpectedSavedMs(std::span<const HeldPart> held,
                       const PrefillState& engine) {
  if (engine.m_slow || engine.m_full || engine.m_tokens_per_ms <= 0) {
    return 0;
  }
  // A part is of use only if all parts before it are held, too.
  double probability = 1;
  double tokens = 0;
  for (const HeldPart& part : held) {
    if (part.m_age >= kMaxHeldAge) {
      break;
    }
    const double half_lives =
        static_cast<double>(part.m_age.count()) / kHalfLife.count();
    probability =
        std::min(probability, std::exp2(-std::max(half_lives, 0.0)) *
                                  (part.m_confirmed ? 1 : kUnconfirmedWeight));
    // The square lets a popular part reach the last engines, too: the fewer of
    // them lack it, the less they would lose by reading it.
    const double holders = std::max(part.m_holders, 1);
    tokens +=
        probability * static_cast<double>(part.m_tokens) / (holders * holders);
  }
  return tokens / engine.m_tokens_per_ms;
}

}  // namespace bronzecross
