#include "http/connection_list.h"

#include <sys/socket.h>

#include "base/metrics.h"

namespace bronzecross {
namespace {

// An eighth of the connections is kept free: the server stops accepting at its
// limit, and a connection that is shut down takes a moment to end.
constexpr size_t kHeadroomDivisor = 8;

}  // namespace

ConnectionList::ConnectionList(size_t max_connections)
    : m_max(max_connections - max_connections / kHeadroomDivisor) {}

ConnectionList::Connection* ConnectionList::Add(int fd) {
  Connection* connection = new Connection;
  connection->m_fd = fd;
  const absl::MutexLock lock(&m_mutex);
  if (m_open >= m_max) {
    ShutDownOldest();
  }
  ++m_open;
  connection->m_position = m_idle.insert(m_idle.end(), connection);
  return connection;
}

void ConnectionList::ShutDownOldest() {
  if (m_idle.empty()) {
    return;
  }
  Connection& oldest = *m_idle.front();
  m_idle.pop_front();
  oldest.m_shut_down = true;
  --m_open;
  shutdown(oldest.m_fd, SHUT_RDWR);
  CountMetric("bronzecross_bound_refusals_total", {{"reason", "connections"}});
}

void ConnectionList::Remove(Connection* connection) {
  {
    const absl::MutexLock lock(&m_mutex);
    if (!connection->m_shut_down) {
      --m_open;
      if (!connection->m_busy) {
        m_idle.erase(connection->m_position);
      }
    }
  }
  delete connection;
}

void ConnectionList::SetBusy(Connection& connection, bool busy) {
  const absl::MutexLock lock(&m_mutex);
  if (connection.m_shut_down || connection.m_busy == busy) {
    return;
  }
  connection.m_busy = busy;
  if (busy) {
    m_idle.erase(connection.m_position);
  } else {
    connection.m_position = m_idle.insert(m_idle.end(), &connection);
  }
}

}  // namespace bronzecross
