#include "harness/percentile.h"

#include <algorithm>
#include <cmath>

namespace bronzecross {

double Percentile(std::vector<double> sample, double percent) {
  if (sample.empty()) {
    return 0;
  }
  const size_t rank = static_cast<size_t>(
      std::ceil(percent / 100.0 * static_cast<double>(sample.size())));
  const size_t index = std::min(sample.size() - 1, rank > 0 ? rank - 1 : 0);
  std::nth_element(sample.begin(),
                   sample.begin() + static_cast<std::ptrdiff_t>(index),
                   sample.end());
  return sample[index];
}

}  // namespace bronzecross
