#include "harness/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdint>
#include <fstream>
#include <sstream>
#include <string_view>

namespace bronzecross {
namespace {

constexpr Millis kPoll{5};
constexpr int kSignalBase = 128;

bool BlocksSignal(pid_t pid, int signal) {
  constexpr std::string_view kField = "SigBlk:";
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kField)) {
      const uint64_t mask =
          std::stoull(line.substr(kField.size()), nullptr, 16);
      return (mask >> (signal - 1) & 1) != 0;
    }
  }
  return false;
}

}  // namespace

ChildProcess::~ChildProcess() {
  Kill();
}

void ChildProcess::Start(const std::vector<std::string>& command,
                         const std::string& log_path) {
  std::vector<char*> arguments;
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  absl::MutexLock lock(&m_mutex);
  m_status = -1;
  m_pid = fork();
  if (m_pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    // The test's own sockets must not stay open in the child.
    closefrom(STDERR_FILENO + 1);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
}

pid_t ChildProcess::Pid() const {
  absl::MutexLock lock(&m_mutex);
  return m_pid;
}

bool ChildProcess::IsRunning() {
  return Pid() > 0 && Wait(Millis(0)) == -1;
}

void ChildProcess::Signal(int signal) {
  absl::MutexLock lock(&m_mutex);
  if (m_pid > 0) {
    kill(m_pid, signal);
  }
}

bool ChildProcess::SignalIfBlocked(int signal) {
  absl::MutexLock lock(&m_mutex);
  if (m_pid <= 0 || !BlocksSignal(m_pid, signal)) {
    return false;
  }
  kill(m_pid, signal);
  return true;
}

void ChildProcess::Kill() {
  if (Pid() > 0) {
    Signal(SIGKILL);
    Wait(Millis(10'000));
  }
}

void ChildProcess::Pause() {
  Signal(SIGSTOP);
}

void ChildProcess::Resume() {
  Signal(SIGCONT);
}

int ChildProcess::Wait(Millis timeout) {
  const Millis deadline = MonotonicNow() + timeout;
  for (;;) {
    {
      absl::MutexLock lock(&m_mutex);
      int status = 0;
      if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_status = WIFEXITED(status) ? WEXITSTATUS(status)
                                     : kSignalBase + WTERMSIG(status);
        m_pid = -1;
      }
      if (m_pid <= 0) {
        return m_status;
      }
    }
    if (MonotonicNow() >= deadline) {
      return -1;
    }
    SleepFor(kPoll);
  }
}

ProcessUsage ReadUsage(pid_t pid) {
  ProcessUsage usage;
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::stringstream text;
  text << stat.rdbuf();
  const std::string line = text.str();
  // The second field may hold spaces; fields are counted after its bracket.
  std::istringstream fields(line.substr(line.rfind(')') + 1));
  std::vector<std::string> values;
  for (std::string value; fields >> value;) {
    values.push_back(value);
  }
  constexpr size_t kUserTime = 11;
  constexpr size_t kSystemTime = 12;
  constexpr size_t kRssPages = 21;
  if (values.size() > kRssPages) {
    usage.m_cpu_seconds =
        (std::stod(values[kUserTime]) + std::stod(values[kSystemTime])) /
        static_cast<double>(sysconf(_SC_CLK_TCK));
    usage.m_rss_bytes = std::stoll(values[kRssPages]) * sysconf(_SC_PAGESIZE);
  }
  return usage;
}

}  // namespace bronzecross
