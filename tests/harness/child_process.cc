#include "harness/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

namespace bronzecross {
namespace {

constexpr Millis kPoll{5};
constexpr int kSignalBase = 128;

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

bool ChildProcess::IsRunning() {
  return m_pid > 0 && Wait(Millis(0)) == -1;
}

void ChildProcess::Signal(int signal) {
  if (m_pid > 0) {
    kill(m_pid, signal);
  }
}

void ChildProcess::Kill() {
  if (m_pid > 0) {
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
  while (m_pid > 0) {
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
      m_status = WIFEXITED(status) ? WEXITSTATUS(status)
                                   : kSignalBase + WTERMSIG(status);
      m_pid = -1;
      break;
    }
    if (MonotonicNow() >= deadline) {
      return -1;
    }
    SleepFor(kPoll);
  }
  return m_status;
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
