// Byte budget of the process for what it holds for the connections of others:
// header sections, bodies, and responses that are read slowly.

#ifndef BRONZECROSS_HTTP1_MEMORY_BUDGET_H_
#define BRONZECROSS_HTTP1_MEMORY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bronzecross {

struct BudgetLimits {
  size_t m_total = SIZE_MAX;
  size_t m_connection = SIZE_MAX;  // of one connection
  size_t m_group = SIZE_MAX;       // of all connections of one group
  // The same as m_total and m_group for a connection that holds over
  // kSmallHoldBytes.
  size_t m_large = SIZE_MAX;
  size_t m_group_large = SIZE_MAX;
};

// Connections up to this size may use the whole budget, so that ordinary
// requests are served while large bodies fill the rest.
inline constexpr size_t kSmallHoldBytes = 64 << 10;

// What is held, including the bytes in question.
struct BudgetUse {
  size_t m_total = 0;
  size_t m_connection = 0;
  size_t m_group = 0;  // 0 without a group
};

enum class BudgetVerdict {
  kFits,
  kConnectionFull,
  kGroupFull,
  kBudgetFull,
};

// Decides whether a connection may hold what it does.
BudgetVerdict CheckBudget(const BudgetLimits& limits, const BudgetUse& use);

// Derives the limits from the whole budget and the largest body and header
// section of a request, so that a single request always fits if the budget
// allows it at all.
BudgetLimits MakeBudgetLimits(size_t total,
                              size_t max_body_bytes,
                              size_t max_header_bytes);

class MemoryBudget {
 public:
  explicit MemoryBudget(const BudgetLimits& limits) : m_limits(limits) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  void SetLimits(const BudgetLimits& limits) { m_limits = limits; }
  const BudgetLimits& Limits() const { return m_limits; }
  size_t HeldBytes() const { return m_held; }

 private:
  friend class BudgetLease;

  struct Group {
    size_t m_held = 0;
    int m_leases = 0;
  };
  using Groups = std::map<std::string, Group, std::less<>>;

  BudgetLimits m_limits;
  // Invariant: the sum over all leases.
  size_t m_held = 0;
  // Groups that have a lease.
  Groups m_groups;
};

// The part of the budget that one connection holds. Gives it back at the end of
// its lifetime.
class BudgetLease {
 public:
  explicit BudgetLease(MemoryBudget& budget)
      : m_budget(budget), m_group(budget.m_groups.end()) {}
  ~BudgetLease();
  BudgetLease(const BudgetLease&) = delete;
  BudgetLease& operator=(const BudgetLease&) = delete;

  // Counts the bytes toward the share of `group` as well, such as a workspace.
  void JoinGroup(std::string_view group);
  void LeaveGroup();
  // Counts `bytes` in place of what was counted before, whatever the verdict.
  BudgetVerdict Hold(size_t bytes);
  MemoryBudget& Budget() { return m_budget; }
  // Joins the group of `other`, if it has one.
  void JoinGroupOf(const BudgetLease& other);

 private:
  MemoryBudget& m_budget;
  MemoryBudget::Groups::iterator m_group;
  size_t m_held = 0;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP1_MEMORY_BUDGET_H_
