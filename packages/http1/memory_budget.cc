#include "http1/memory_budget.h"

#include <algorithm>

namespace bronzecross {
namespace {

// A string that grows by appending has up to twice the capacity of its size,
// and a body exists a second time in the send buffer to its upstream.
constexpr size_t kBodyCost = 3;

// The fields of a header section cost up to 16 times their bytes, and the
// section is copied once.
constexpr size_t kHeaderCost = 32;

// Responses and calls of other VMs have bodies of up to this size, whatever the
// largest request is. They get their share only if the budget is large enough.
constexpr size_t kLargestOtherBody = 8 << 20;

}  // namespace

BudgetVerdict CheckBudget(const BudgetLimits& limits, const BudgetUse& use) {
  if (use.m_connection > limits.m_connection) {
    return BudgetVerdict::kConnectionFull;
  }
  const bool is_small = use.m_connection <= kSmallHoldBytes;
  if (use.m_group > (is_small ? limits.m_group : limits.m_group_large)) {
    return BudgetVerdict::kGroupFull;
  }
  return use.m_total > (is_small ? limits.m_total : limits.m_large)
             ? BudgetVerdict::kBudgetFull
             : BudgetVerdict::kFits;
}

BudgetLimits MakeBudgetLimits(size_t total,
                              size_t max_body_bytes,
                              size_t max_header_bytes) {
  BudgetLimits limits;
  limits.m_total = total;
  const size_t one_request =
      kBodyCost * max_body_bytes + kHeaderCost * max_header_bytes;
  const size_t other =
      kBodyCost * kLargestOtherBody + kHeaderCost * max_header_bytes;
  limits.m_connection =
      std::min(total, std::max(one_request, std::min(total / 2, other)));
  limits.m_large = std::max(total / 4 * 3, limits.m_connection);
  limits.m_group_large = std::max(total / 2, limits.m_connection);
  limits.m_group = std::max(total / 8 * 5, limits.m_connection);
  return limits;
}

BudgetLease::~BudgetLease() {
  Hold(0);
  LeaveGroup();
}

void BudgetLease::JoinGroup(std::string_view group) {
  if (m_group != m_budget.m_groups.end() && m_group->first == group) {
    return;
  }
  LeaveGroup();
  m_group = m_budget.m_groups.try_emplace(std::string(group)).first;
  ++m_group->second.m_leases;
  m_group->second.m_held += m_held;
}

void BudgetLease::JoinGroupOf(const BudgetLease& other) {
  if (other.m_group != m_budget.m_groups.end()) {
    JoinGroup(other.m_group->first);
  }
}

void BudgetLease::LeaveGroup() {
  if (m_group == m_budget.m_groups.end()) {
    return;
  }
  m_group->second.m_held -= m_held;
  if (--m_group->second.m_leases == 0) {
    m_budget.m_groups.erase(m_group);
  }
  m_group = m_budget.m_groups.end();
}

BudgetVerdict BudgetLease::Hold(size_t bytes) {
  const bool has_group = m_group != m_budget.m_groups.end();
  m_budget.m_held += bytes - m_held;
  if (has_group) {
    m_group->second.m_held += bytes - m_held;
  }
  m_held = bytes;
  BudgetUse use;
  use.m_total = m_budget.m_held;
  use.m_connection = bytes;
  use.m_group = has_group ? m_group->second.m_held : 0;
  return CheckBudget(m_budget.m_limits, use);
}

}  // namespace bronzecross
