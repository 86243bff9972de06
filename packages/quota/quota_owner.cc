#include "quota/quota_owner.h"

#include <algorithm>
#include <cmath>

#include "base/text.h"

namespace bronzecross {
namespace {

// Requests per second that one owner serves for a workspace. A call to an owner
// costs each side 0.1 ms of processor time.
constexpr double kMaxRatePerShard = 150;

}  // namespace

int CountQuotaShards(double rate_per_s) {
  return std::max(static_cast<int>(std::ceil(rate_per_s / kMaxRatePerShard)),
                  1);
}

std::string FindQuotaOwner(const ClusterView& cluster,
                           std::string_view workspace,
                           int index,
                           Millis now) {
  return cluster.FirstVmFor(Concat("tokens/", workspace, "/", index), now);
}

std::string FindNextQuotaOwner(const ClusterView& cluster,
                               std::string_view workspace,
                               int index,
                               std::string_view except,
                               Millis now) {
  return cluster.FirstVmForExcept(Concat("tokens/", workspace, "/", index),
                                  except, now);
}

}  // namespace bronzecross
