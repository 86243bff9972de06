#include "standins/fault_proxy.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <string_view>

namespace bronzecross {
namespace {

constexpr size_t kBlockBytes = 16 * 1024;
constexpr Millis kConnectTimeout{1000};

}  // namespace

struct FaultProxy::Connection {
  int m_client = -1;
  std::atomic<int> m_server = -1;
  std::thread m_thread;
  std::atomic<bool> m_done = false;

  void Cut() {
    shutdown(m_client, SHUT_RDWR);
    if (m_server >= 0) {
      shutdown(m_server, SHUT_RDWR);
    }
  }
};

FaultProxy::FaultProxy(NetAddress target) : m_target(std::move(target)) {
  const Result<int> listener = ListenTcp({"127.0.0.1", 0}, m_address);
  if (!listener) {
    std::abort();
  }
  m_listen_fd = *listener;
  m_thread = std::thread([this] { Accept(); });
}

FaultProxy::~FaultProxy() {
  std::set<std::unique_ptr<Connection>> connections;
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  shutdown(m_listen_fd, SHUT_RDWR);
  m_thread.join();
  close(m_listen_fd);
  {
    absl::MutexLock lock(&m_mutex);
    connections.swap(m_connections);
  }
  for (const std::unique_ptr<Connection>& connection : connections) {
    connection->Cut();
    connection->m_thread.join();
    close(connection->m_client);
    if (connection->m_server >= 0) {
      close(connection->m_server);
    }
  }
}

void FaultProxy::SetTarget(const NetAddress& target) {
  absl::MutexLock lock(&m_mutex);
  m_target = target;
}

void FaultProxy::SetFaults(const ProxyFaults& faults) {
  absl::MutexLock lock(&m_mutex);
  m_faults = faults;
}

ProxyFaults FaultProxy::Faults() {
  absl::MutexLock lock(&m_mutex);
  return m_faults;
}

void FaultProxy::CutAll() {
  absl::MutexLock lock(&m_mutex);
  for (const std::unique_ptr<Connection>& connection : m_connections) {
    connection->Cut();
  }
}

void FaultProxy::Accept() {
  while (true) {
    const int fd = accept4(m_listen_fd, nullptr, nullptr, SOCK_CLOEXEC);
    absl::MutexLock lock(&m_mutex);
    if (m_stopping) {
      if (fd >= 0) {
        close(fd);
      }
      return;
    }
    if (fd < 0) {
      continue;
    }
    if (m_faults.m_refuse) {
      close(fd);
      continue;
    }
    for (auto it = m_connections.begin(); it != m_connections.end();) {
      if ((*it)->m_done) {
        (*it)->m_thread.join();
        close((*it)->m_client);
        if ((*it)->m_server >= 0) {
          close((*it)->m_server);
        }
        it = m_connections.erase(it);
      } else {
        ++it;
      }
    }
    std::unique_ptr<Connection> connection = std::make_unique<Connection>();
    connection->m_client = fd;
    Connection& raw = *connection;
    raw.m_thread = std::thread([this, &raw] {
      Serve(raw);
      raw.Cut();
      raw.m_done = true;
    });
    m_connections.insert(std::move(connection));
  }
}

void FaultProxy::Serve(Connection& connection) {
  NetAddress target;
  {
    absl::MutexLock lock(&m_mutex);
    target = m_target;
  }
  const Result<int> server = ConnectTcp(target, kConnectTimeout);
  if (!server) {
    return;
  }
  connection.m_server = *server;
  int64_t answered = 0;
  // By direction. A byte stream can't go on behind a gap.
  std::array<bool, 2> has_gap = {false, false};
  std::array<char, kBlockBytes> block;
  while (true) {
    std::array<pollfd, 2> fds = {pollfd{connection.m_client, POLLIN, 0},
                                 pollfd{connection.m_server, POLLIN, 0}};
    poll(fds.data(), fds.size(), -1);
    for (size_t side = 0; side < fds.size(); ++side) {
      if (fds[side].revents == 0) {
        continue;
      }
      const ssize_t got = recv(fds[side].fd, block.data(), block.size(), 0);
      if (got <= 0) {
        return;
      }
      const ProxyFaults faults = Faults();
      SleepFor(faults.m_delay);
      const bool forward = side == 0;
      std::string_view bytes(block.data(), static_cast<size_t>(got));
      has_gap[side] = has_gap[side] || (forward ? faults.m_drop_forward
                                                : faults.m_drop_backward);
      if (has_gap[side]) {
        continue;
      }
      if (!forward && faults.m_cut_after_bytes > 0) {
        const int64_t room = faults.m_cut_after_bytes - answered;
        if (room < got) {
          SendAll(connection.m_client,
                  bytes.substr(0, room > 0 ? static_cast<size_t>(room) : 0));
          return;
        }
      }
      answered += forward ? 0 : got;
      if (!SendAll(fds[1 - side].fd, bytes)) {
        return;
      }
    }
  }
}

}  // namespace bronzecross
