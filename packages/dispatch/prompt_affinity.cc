#include "dispatch/prompt_affinity.h"

#include <array>
#include <vector>

namespace bronzecross {
namespace {

// An upstream that recently got more requests of this VM than this many times
// the mean of the candidates, and one more, gets no further ones for its cached
// prompts. Requests that end within a gossip interval show in no load, so that
// all VMs could send to the same upstream.
constexpr double kMaxRecentShare = 1.25;
constexpr double kRecentAllowance = 1;

}  // namespace

void SetSavings(const PromptAffinity& affinity,
                std::span<const uint32_t> run_keys,
                const PromptChain& prompt,
                std::span<CandidateLoad> loads,
                Millis now) {
  if (affinity.m_view == nullptr || prompt.empty() || loads.empty()) {
    return;
  }
  std::vector<double> recent;
  recent.reserve(loads.size());
  double sum = 0;
  for (const uint32_t key : run_keys) {
    recent.push_back(affinity.m_view->CountRecentRequests(key, now));
    sum += recent.back();
  }
  const double most_recent =
      kMaxRecentShare * sum / static_cast<double>(loads.size()) +
      kRecentAllowance;
  std::vector<HeldParts> held;
  held.reserve(loads.size());
  std::array<int, platform::kMaxPromptParts> holders = {};
  for (size_t i = 0; i < loads.size(); ++i) {
    held.push_back(affinity.m_view->Find(run_keys[i], prompt, now));
    for (size_t part = 0; part < held[i].size(); ++part) {
      ++holders[part];
    }
  }
  for (size_t i = 0; i < loads.size(); ++i) {
    CandidateLoad& load = loads[i];
    for (size_t part = 0; part < held[i].size(); ++part) {
      held[i][part].m_holders = holders[part];
    }
    const bool is_full = load.m_online + load.m_batch >= load.m_slots;
    if (recent[i] <= most_recent) {
      load.m_saved_ms = ExpectedSavedMs(
          held[i], {affinity.m_prefill_tokens_per_ms, load.m_slow, is_full});
    }
  }
}

}  // namespace bronzecross
