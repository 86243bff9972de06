// A program started by a test, ended with it. Thread-safe but for Start().

#ifndef BRONZECROSS_TESTS_HARNESS_CHILD_PROCESS_H_
#define BRONZECROSS_TESTS_HARNESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "base/clock.h"

namespace bronzecross {

class ChildProcess {
 public:
  ChildProcess() = default;
  // Kills the process if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Standard output and error are appended to `log_path`.
  void Start(const std::vector<std::string>& command,
             const std::string& log_path);
  bool IsRunning();
  pid_t Pid() const;

  void Signal(int signal);
  // Sends the signal if the process blocks it. Until a new process does, the
  // signal would end it. Returns whether it was sent.
  bool SignalIfBlocked(int signal);
  // SIGKILL; returns once the process is gone.
  void Kill();
  void Pause();
  void Resume();
  // Waits for the process to end. Returns its exit status, 128 + signal if one
  // killed it, or -1 if it still runs after `timeout`.
  int Wait(Millis timeout);

 private:
  // Held while a signal is sent, so that the process isn't reaped meanwhile and
  // its id not used again.
  mutable absl::Mutex m_mutex;
  pid_t m_pid ABSL_GUARDED_BY(m_mutex) = -1;
  int m_status ABSL_GUARDED_BY(m_mutex) = -1;
};

// Processor seconds used and resident bytes of a running process.
struct ProcessUsage {
  double m_cpu_seconds = 0;
  int64_t m_rss_bytes = 0;
};
ProcessUsage ReadUsage(pid_t pid);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_HARNESS_CHILD_PROCESS_H_
