#include "gateway/process_bounds.h"

#include <doctest/doctest.h>

namespace bronzecross {
namespace {

constexpr int64_t kMb = 1 << 20;

TEST_CASE("the memory budget is a third of the machine's memory") {
  GatewaySettings settings;
  CHECK(MakeBudgetBytes(settings, {600 * kMb, 1'000}) == 200 * kMb);
  settings.m_machine_mb = 120;
  CHECK(MakeBudgetBytes(settings, {600 * kMb, 1'000}) == 40 * kMb);
  settings.m_budget_mb = 8;
  CHECK(MakeBudgetBytes(settings, {600 * kMb, 1'000}) == 8 * kMb);
}

// Guards against callers that take the descriptors for upstreams, other VMs and
// the store.
TEST_CASE("the connections of all listeners stay below the descriptor limit") {
  GatewaySettings settings;
  for (const int64_t limit : {64, 300, 1'024, 3'075, 10'250, 1 << 20}) {
    const ConnectionBounds bounds =
        MakeConnectionBounds(settings, {kMb, limit});
    CHECK(bounds.m_callers > 0);
    CHECK(bounds.m_peers > 0);
    CHECK(bounds.m_probes > 0);
    CHECK(bounds.m_callers + bounds.m_peers + 2 * bounds.m_probes <=
          static_cast<size_t>(limit));
  }
  const ConnectionBounds bounds = MakeConnectionBounds(settings, {kMb, 3'075});
  CHECK(bounds.m_callers == 1'437);
  settings.m_max_connections = 32;
  settings.m_max_descriptors = 400;
  CHECK(MakeConnectionBounds(settings, {kMb, 3'075}).m_callers == 32);
  CHECK(MakeConnectionBounds(settings, {kMb, 3'075}).m_peers == 50);
}

TEST_CASE("the machine reports its memory and its descriptors") {
  CHECK(ReadMachineLimits().m_memory_bytes > kMb);
  CHECK(ReadMachineLimits().m_descriptors > 0);
}

}  // namespace
}  // namespace bronzecross
