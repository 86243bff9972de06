// Online callers that run beside a test until stopped.

#ifndef BRONZECROSS_TESTS_HARNESS_BACKGROUND_LOAD_H_
#define BRONZECROSS_TESTS_HARNESS_BACKGROUND_LOAD_H_

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "harness/cluster.h"

namespace bronzecross {

struct LoadSample {
  int m_vm = 0;
  Millis m_sent;
  ChatOutcome m_outcome;
};

struct BackgroundLoadOptions {
  int m_callers = 4;
  int m_workspace = 0;
  int64_t m_tokens = 8;
  Millis m_pause{10};
  // The VM for a caller's next request.
  std::function<int(int caller, int64_t request)> m_choose_vm;
};

class BackgroundLoad {
 public:
  BackgroundLoad(Cluster& cluster, BackgroundLoadOptions options);
  ~BackgroundLoad();

  // Ends the callers after their present request.
  void Stop();
  std::vector<LoadSample> Samples() const;

 private:
  void RunCaller(int caller);

  Cluster& m_cluster;
  const BackgroundLoadOptions m_options;
  std::atomic<bool> m_stopping = false;
  mutable absl::Mutex m_mutex;
  std::vector<LoadSample> m_samples ABSL_GUARDED_BY(m_mutex);
  std::vector<std::thread> m_threads;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_HARNESS_BACKGROUND_LOAD_H_
