#include "http/body_budget.h"

#include <unistd.h>

namespace bronzecross {
namespace {

// The rest of the memory is for the threads of the connections and for the
// tables of the process.
constexpr int64_t kMemoryDivisor = 3;

}  // namespace

bool MayHoldBody(int64_t budget, int64_t held, size_t body) {
  return held <= (body <= kSmallBodyBytes ? budget : budget / 4 * 3);
}

int64_t DefaultBodyBudget() {
  return static_cast<int64_t>(sysconf(_SC_PHYS_PAGES)) * sysconf(_SC_PAGESIZE) /
         kMemoryDivisor;
}

bool HeldBody::Resize(size_t bytes) {
  const int64_t change = static_cast<int64_t>(bytes) - m_counted;
  m_counted = static_cast<int64_t>(bytes);
  const int64_t held = m_held.fetch_add(change) + change;
  return change <= 0 || MayHoldBody(m_budget, held, bytes);
}

}  // namespace bronzecross
