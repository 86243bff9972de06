// Online callers that check each answer.

#ifndef BRONZECROSS_TESTS_PROMISES_ONLINE_LOAD_H_
#define BRONZECROSS_TESTS_PROMISES_ONLINE_LOAD_H_

#include <atomic>

#include "harness/cluster.h"
#include "promises/fault_runner.h"
#include "promises/history.h"

namespace bronzecross {

struct OnlineLoad {
  Cluster& m_cluster;
  History& m_history;
  const WithdrawnKeys& m_withdrawn;
  const std::atomic<bool>& m_stopping;
  uint64_t m_seed = 1;
  int m_workspaces = 1;
  Millis m_pause{20};
};

// Sends requests one after the other until told to stop. Checks that each whole
// answer is the right one, that no key works 3 s after its withdrawal, and
// records admissions.
void RunOnlineCaller(const OnlineLoad& load);

// Watches each VM's generation: it must never go back.
void WatchGenerations(Cluster& cluster,
                      History& history,
                      const std::atomic<bool>& stopping);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_PROMISES_ONLINE_LOAD_H_
