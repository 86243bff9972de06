#include "placement/cold_senders.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "base/hash.h"

namespace bronzecross {
namespace {

// More senders would reach more callers, but each needs a burst of its own.
constexpr int kMaxColdSenders = 8;

Millis SendInterval(double per_s) {
  return Millis(static_cast<int64_t>(std::ceil(1'000 / per_s)));
}

}  // namespace

double ColdBound(const ColdLimits& limits, const PlacementSettings& settings) {
  return limits.m_per_s * settings.m_cold_over + settings.m_cold_slack;
}

ColdSendPlan PlanColdSends(double bound, int vms) {
  ColdSendPlan best;
  for (int senders = 1; senders <= std::min(vms, kMaxColdSenders); ++senders) {
    const double per_s = bound / (senders + kSpareColdSenders) - 1;
    if (per_s > 0 && senders * per_s > best.m_senders * best.m_per_s) {
      best = {senders, per_s};
    }
  }
  return best;
}

std::vector<std::string_view> ColdSenders(std::string_view upstream,
                                          std::string_view zone,
                                          std::span<const SenderCandidate> vms,
                                          int count) {
  const uint64_t seed = Hash64(upstream);
  // Whether in another zone, the complement of the score, and the id.
  std::vector<std::tuple<bool, uint64_t, std::string_view>> ranked;
  ranked.reserve(vms.size());
  for (const SenderCandidate& vm : vms) {
    ranked.emplace_back(vm.m_zone != zone, ~Hash64(vm.m_id, seed), vm.m_id);
  }
  const ptrdiff_t kept = std::min<ptrdiff_t>(
      std::max(count, 0), static_cast<ptrdiff_t>(ranked.size()));
  std::partial_sort(ranked.begin(), ranked.begin() + kept, ranked.end());
  std::vector<std::string_view> senders;
  for (ptrdiff_t i = 0; i < kept; ++i) {
    senders.push_back(std::get<2>(ranked[static_cast<size_t>(i)]));
  }
  return senders;
}

void SetColdRate(ColdPacer& pacer,
                 double per_s,
                 Millis now,
                 Millis first_delay) {
  if (pacer.m_per_s == per_s) {
    return;
  }
  pacer.m_per_s = per_s;
  if (per_s > 0) {
    pacer.m_next = std::max(pacer.m_next,
                            now + std::max(SendInterval(per_s), first_delay));
  }
}

bool HasColdToken(const ColdPacer& pacer, Millis now) {
  return pacer.m_per_s > 0 && now >= pacer.m_next;
}

void TakeColdToken(ColdPacer& pacer, Millis now) {
  if (pacer.m_per_s > 0) {
    pacer.m_next = now + SendInterval(pacer.m_per_s);
  }
}

}  // namespace bronzecross
