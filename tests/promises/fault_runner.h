// Causes the drawn faults in a cluster.

#ifndef BRONZECROSS_TESTS_PROMISES_FAULT_RUNNER_H_
#define BRONZECROSS_TESTS_PROMISES_FAULT_RUNNER_H_

#include <vector>

#include "harness/cluster.h"
#include "promises/fault_plan.h"
#include "promises/history.h"

namespace bronzecross {

// When each key's withdrawal was published; zero: still given.
struct WithdrawnKeys {
  mutable absl::Mutex m_mutex;
  std::vector<Millis> m_at ABSL_GUARDED_BY(m_mutex);

  Millis Get(size_t workspace) const;
};

class FaultRunner {
 public:
  // `first_key` to `last_key` may be withdrawn, one after the other.
  FaultRunner(Cluster& cluster,
              History& history,
              WithdrawnKeys& withdrawn,
              int first_key,
              int last_key);

  // Begins and ends each fault at its time, then ends all faults and starts all
  // VMs. Returns once `length` is over.
  void Run(const std::vector<Fault>& faults, Millis length);

 private:
  void Begin(const Fault& fault);
  void End(const Fault& fault);
  void PartVm(int vm, const ProxyFaults& to_vm, const ProxyFaults& from_vm);
  void SendCrashRequest(int vm);
  void WithdrawNextKey();
  void RacePublishers();
  void Heal();

  Cluster& m_cluster;
  History& m_history;
  WithdrawnKeys& m_withdrawn;
  int m_next_key;
  const int m_last_key;
  int m_crash_requests = 0;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_PROMISES_FAULT_RUNNER_H_
