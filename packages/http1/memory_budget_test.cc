#include "http1/memory_budget.h"

#include <doctest/doctest.h>

#include <memory>
#include <vector>

#include "aio/wait.h"
#include "http1/read_bounds.h"

namespace bronzecross {
namespace {

constexpr size_t kMb = 1 << 20;

// Guards against limits that no longer let a single request of the allowed size
// through, on machines of any size.
TEST_CASE("a single request of the allowed size fits into the budget") {
  for (const size_t total : {24 * kMb, 40 * kMb, 170 * kMb}) {
    const BudgetLimits limits = MakeBudgetLimits(total, 4 * kMb, 16'384);
    MemoryBudget budget(limits);
    BudgetLease lease(budget);
    lease.JoinGroup("ws");
    // The body in a string that has doubled, its copy for the upstream, and a
    // header section of many short fields.
    CHECK(lease.Hold(8 * kMb + 4 * kMb + 16 * 16'384) == BudgetVerdict::kFits);
  }
}

// Guards against one workspace, or many large bodies, that leave no memory for
// the ordinary requests of others.
TEST_CASE("a full share and a full budget still let small requests through") {
  MemoryBudget budget(MakeBudgetLimits(40 * kMb, kMb, 16'384));
  std::vector<std::unique_ptr<BudgetLease>> leases;
  const auto fill = [&](std::string_view group) {
    for (;;) {
      leases.push_back(std::make_unique<BudgetLease>(budget));
      leases.back()->JoinGroup(group);
      const BudgetVerdict verdict = leases.back()->Hold(kMb);
      if (verdict != BudgetVerdict::kFits) {
        leases.pop_back();
        return verdict;
      }
    }
  };
  CHECK(fill("a") == BudgetVerdict::kGroupFull);
  CHECK(budget.HeldBytes() == 20 * kMb);
  CHECK(fill("b") == BudgetVerdict::kBudgetFull);
  CHECK(budget.HeldBytes() == 30 * kMb);
  for (const std::string_view group : {"a", "b", "c"}) {
    BudgetLease lease(budget);
    lease.JoinGroup(group);
    CHECK(lease.Hold(kSmallHoldBytes) == BudgetVerdict::kFits);
    CHECK(lease.Hold(kSmallHoldBytes + 1) != BudgetVerdict::kFits);
  }
  leases.clear();
  CHECK(budget.HeldBytes() == 0);
}

TEST_CASE("a lease takes what it holds along when it changes its group") {
  MemoryBudget budget(MakeBudgetLimits(40 * kMb, kMb, 16'384));
  BudgetLease first(budget);
  first.Hold(15 * kMb);
  first.JoinGroup("a");
  BudgetLease second(budget);
  second.JoinGroupOf(first);
  CHECK(second.Hold(6 * kMb) == BudgetVerdict::kGroupFull);
  first.LeaveGroup();
  CHECK(second.Hold(6 * kMb) == BudgetVerdict::kFits);
  CHECK(budget.HeldBytes() == 21 * kMb);
}

TEST_CASE("a connection may not hold more than its share") {
  const BudgetLimits limits = MakeBudgetLimits(400 * kMb, 4 * kMb, 16'384);
  CHECK(CheckBudget(limits, {25 * kMb, 25 * kMb, 0}) ==
        BudgetVerdict::kConnectionFull);
  CHECK(CheckBudget(limits, {24 * kMb, 24 * kMb, 0}) == BudgetVerdict::kFits);
}

// Guards against a caller that keeps a request open with a byte a second.
TEST_CASE("a body must arrive at the minimum rate after the grace period") {
  const MinBodyRate rate{1'024, Millis(5'000)};
  const Millis began(1'000);
  Millis now = began;
  size_t received = 0;
  while (now < BodyDeadline(rate, began, received)) {
    now += Millis(1'000);
    ++received;
  }
  CHECK(now - began <= Millis(6'000));
  CHECK(BodyDeadline(rate, began, 10'240) == began + Millis(15'000));
  CHECK(BodyDeadline(MinBodyRate(), began, 0) == kNever);
}

}  // namespace
}  // namespace bronzecross
