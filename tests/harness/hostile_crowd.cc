#include "harness/hostile_crowd.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "base/text.h"

namespace bronzecross {
namespace {

constexpr Millis kConnectTimeout{5'000};

// Time between two counts of the server's descriptors.
constexpr Millis kPollTime{20};

// Receive buffer of each connection, so that unread responses stay with the
// server.
constexpr int kReceiveBufferBytes = 4'096;

}  // namespace

HostileCrowd::HostileCrowd(const NetAddress& server,
                           pid_t pid,
                           size_t connections)
    : m_pid(pid) {
  for (size_t i = 0; i < connections; ++i) {
    const Result<int> fd = ConnectTcp(server, kConnectTimeout);
    if (fd) {
      fcntl(*fd, F_SETFL, fcntl(*fd, F_GETFL, 0) | O_NONBLOCK);
      setsockopt(*fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
                 sizeof(kReceiveBufferBytes));
      m_connections.push_back({*fd, 0, true});
    }
  }
  CountDescriptors();
}

HostileCrowd::~HostileCrowd() {
  for (const Connection& connection : m_connections) {
    close(connection.m_fd);
  }
}

void HostileCrowd::CountDescriptors() {
  m_peak_descriptors =
      std::max(m_peak_descriptors, CountOpenDescriptors(m_pid));
}

bool HostileCrowd::SendSome(Connection& connection, std::string_view bytes) {
  const ssize_t sent =
      send(connection.m_fd, bytes.data() + connection.m_sent,
           bytes.size() - connection.m_sent, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent > 0) {
    connection.m_sent += static_cast<size_t>(sent);
    return true;
  }
  connection.m_open = sent < 0 && (errno == EAGAIN || errno == EINTR);
  return false;
}

void HostileCrowd::Send(const HostileInput& input, Millis stall) {
  std::string bytes = input.m_begin;
  while (!input.m_repeated.empty() &&
         bytes.size() + input.m_repeated.size() <= input.m_max_bytes) {
    bytes += input.m_repeated;
  }
  Millis last_progress = MonotonicNow();
  while (MonotonicNow() - last_progress < stall) {
    std::vector<pollfd> polled;
    bool is_progress = false;
    for (Connection& connection : m_connections) {
      if (connection.m_open && connection.m_sent < bytes.size()) {
        is_progress = SendSome(connection, bytes) || is_progress;
        polled.push_back({connection.m_fd, POLLOUT, 0});
      }
    }
    CountDescriptors();
    if (polled.empty()) {
      return;
    }
    if (is_progress) {
      last_progress = MonotonicNow();
    }
    poll(polled.data(), polled.size(), static_cast<int>(kPollTime.count()));
  }
}

void HostileCrowd::Hold(Millis duration) {
  const Millis end = MonotonicNow() + duration;
  while (MonotonicNow() < end) {
    CountDescriptors();
    SleepFor(kPollTime);
  }
}

int64_t PeakMemoryMb(pid_t pid) {
  std::ifstream status(Concat("/proc/", pid, "/status"));
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmHWM:")) {
      return std::strtoll(line.c_str() + 6, nullptr, 10) / 1024;
    }
  }
  return -1;
}

int CountOpenDescriptors(pid_t pid) {
  std::error_code error;
  int count = 0;
  for (std::filesystem::directory_iterator entry(Concat("/proc/", pid, "/fd"),
                                                 error);
       !error && entry != std::filesystem::directory_iterator();
       entry.increment(error)) {
    ++count;
  }
  return count;
}

}  // namespace bronzecross
