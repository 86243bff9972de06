// Counts the request bodies that an HTTP server holds in memory.

#ifndef BRONZECROSS_HTTP_BODY_BUDGET_H_
#define BRONZECROSS_HTTP_BODY_BUDGET_H_

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace bronzecross {

// Bodies up to this size may use the whole budget, larger ones three quarters
// of it, so that ordinary requests are served while large ones fill the rest.
inline constexpr size_t kSmallBodyBytes = 64 << 10;

// Decides whether a body that takes `body` bytes may be held while all take
// `held`, itself included.
bool MayHoldBody(int64_t budget, int64_t held, size_t body);

// Returns the budget of a server on a machine whose memory the system reports.
int64_t DefaultBodyBudget();

// The part of a budget that one body takes; gives it back at the end of its
// lifetime. `held` is the sum of all and must outlive it.
class HeldBody {
 public:
  HeldBody(std::atomic<int64_t>& held, int64_t budget)
      : m_held(held), m_budget(budget) {}
  ~HeldBody() { Resize(0); }
  HeldBody(const HeldBody&) = delete;
  HeldBody& operator=(const HeldBody&) = delete;

  // Returns whether a body that takes `bytes` may be held. It is counted in any
  // case.
  bool Resize(size_t bytes);

 private:
  std::atomic<int64_t>& m_held;
  const int64_t m_budget;
  int64_t m_counted = 0;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP_BODY_BUDGET_H_
