#include "peers/peer_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>

#include "base/log.h"
#include "peers/peer_server_session.h"

namespace bronzecross {
namespace {

constexpr int kWorkerThreads = 64;
constexpr int kDiskThreads = 16;
constexpr size_t kMaxQueuedRequests = 4096;

}  // namespace

struct PeerServer::Connection {
  std::shared_ptr<PeerServerSession> m_session;
  std::thread m_thread;
  std::atomic<bool> m_done = false;
};

PeerServer::PeerServer(NetAddress address) : m_address(std::move(address)) {}

PeerServer::~PeerServer() {
  Stop();
}

void PeerServer::Register(std::string_view method,
                          PeerDispatch dispatch,
                          PeerHandler handler) {
  m_methods.insert_or_assign(std::string(method),
                             Method{dispatch, std::move(handler)});
}

const PeerServer::Method* PeerServer::FindMethod(std::string_view name) const {
  const auto found = m_methods.find(name);
  return found == m_methods.end() ? nullptr : &found->second;
}

Status PeerServer::Start() {
  const Result<int> listener = ListenTcp(m_address, m_bound_address);
  if (!listener) {
    return tl::unexpected<Error>(listener.error());
  }
  m_listen_fd = *listener;
  m_workers = std::make_unique<WorkerPool>(kWorkerThreads, kMaxQueuedRequests);
  m_disk_workers =
      std::make_unique<WorkerPool>(kDiskThreads, kMaxQueuedRequests);
  m_accept_thread = std::thread([this] { Accept(); });
  return {};
}

void PeerServer::Accept() {
  while (true) {
    const int fd = accept4(m_listen_fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0 && (errno == EINTR || errno == ECONNABORTED)) {
      continue;
    }
    absl::MutexLock lock(&m_mutex);
    if (m_stopping) {
      if (fd >= 0) {
        close(fd);
      }
      return;
    }
    if (fd < 0) {
      Log(Severity::kError, LogPart::kPeers, "Cannot accept a connection.",
          {{"errno", errno}});
      SleepFor(Millis(100));
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    for (auto it = m_connections.begin(); it != m_connections.end();) {
      if ((*it)->m_done) {
        (*it)->m_thread.join();
        it = m_connections.erase(it);
      } else {
        ++it;
      }
    }
    std::unique_ptr<Connection> connection = std::make_unique<Connection>();
    connection->m_session = std::make_shared<PeerServerSession>(*this, fd);
    connection->m_thread = std::thread([raw = connection.get()] {
      raw->m_session->Run();
      raw->m_done = true;
    });
    m_connections.insert(std::move(connection));
  }
}

void PeerServer::Stop() {
  if (m_listen_fd < 0) {
    return;
  }
  std::set<std::unique_ptr<Connection>> connections;
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
    connections.swap(m_connections);
  }
  shutdown(m_listen_fd, SHUT_RDWR);
  m_accept_thread.join();
  close(m_listen_fd);
  m_listen_fd = -1;
  for (const std::unique_ptr<Connection>& connection : connections) {
    connection->m_session->Stop();
    connection->m_thread.join();
  }
  m_workers.reset();
  m_disk_workers.reset();
}

}  // namespace bronzecross
