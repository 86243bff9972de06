// What the parts of a soak share: the system under test, the proxies before its
// upstreams, and the log.

#ifndef BRONZECROSS_TESTS_SOAK_SOAK_WORLD_H_
#define BRONZECROSS_TESTS_SOAK_SOAK_WORLD_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "harness/gateway_cluster.h"
#include "harness/silent_server.h"
#include "soak/soak_log.h"

namespace bronzecross {

struct SoakOptions {
  uint64_t m_seed = 1;
  int m_vms = 4;
  int m_engines = 4;
  int m_online_callers = 24;
  int m_job_callers = 3;
  Millis m_length{12'000};  // of the faults; checks follow
  bool m_prints = false;
};

// Limit of the first workspace; the second one has none.
inline constexpr double kSoakRatePerS = 60;
inline constexpr double kSoakBurst = 30;
// Events of each stream.
inline constexpr int kSoakEvents = 12;

struct SoakWorld {
  SoakWorld(const SoakOptions& options, SoakLog& log, GatewayCluster& cluster)
      : m_options(options), m_log(log), m_cluster(cluster) {}

  const SoakOptions& m_options;
  SoakLog& m_log;
  GatewayCluster& m_cluster;
  std::vector<std::unique_ptr<FaultProxy>> m_engine_proxies;
  // The address of a VM that is gone; it never replies.
  SilentServer m_silent_seed;
  // Callers start nothing new once it is set.
  std::atomic<bool> m_stopping = false;

  // A VM or engine is claimed by one fault at a time.
  bool Claim(FaultPlace place, int target) {
    absl::MutexLock lock(&m_mutex);
    return m_claimed.emplace(place, target).second;
  }
  void Release(FaultPlace place, int target) {
    absl::MutexLock lock(&m_mutex);
    m_claimed.erase({place, target});
  }

 private:
  absl::Mutex m_mutex;
  std::set<std::pair<FaultPlace, int>> m_claimed ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_SOAK_SOAK_WORLD_H_
