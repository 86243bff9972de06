#include "quota/quota_owner.h"

#include <algorithm>
#include <cmath>

#include "base/text.h"

namespace bronzecross {
namespace {

// Requests a second that one home answers for a workspace. A call to a home
// costs both sides a tenth of a millisecond of processor time.
constexpr double kMostPerHome = 150;

}  // namespace

int CountHomes(double rate_per_s) {
  return std::max(static_cast<int>(std::ceil(rate_per_s / kMostPerHome)), 1);
}

std::string FindHome(const ClusterView& cluster,
                     std::string_view workspace,
                     int index,
                     Millis now) {
  return cluster.FirstVmFor(Concat("tokens/", workspace, "/", index), now);
}

}  // namespace bronzecross
