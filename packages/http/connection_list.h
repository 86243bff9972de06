// The open connections of an HTTP server that has a thread for each. Closes the
// oldest idle one when there are too many, so that idle connections don't shut
// out new ones.

#ifndef BRONZECROSS_HTTP_CONNECTION_LIST_H_
#define BRONZECROSS_HTTP_CONNECTION_LIST_H_

#include <cstddef>
#include <list>

#include <absl/synchronization/mutex.h>

namespace bronzecross {

// Thread-safe.
class ConnectionList {
 public:
  struct Connection {
    int m_fd = -1;
    // Whether its request is complete and its response isn't.
    bool m_busy = false;
    bool m_shut_down = false;
    // In m_idle, unless m_busy or m_shut_down.
    std::list<Connection*>::iterator m_position;
  };

  // Connections are closed from `max_connections` on, a little earlier than the
  // server stops accepting.
  explicit ConnectionList(size_t max_connections);
  ConnectionList(const ConnectionList&) = delete;
  ConnectionList& operator=(const ConnectionList&) = delete;

  // `fd` must stay open until Remove(). The result is owned by the list.
  Connection* Add(int fd);
  void Remove(Connection* connection);
  void SetBusy(Connection& connection, bool busy);

 private:
  void ShutDownOldest() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  const size_t m_max;
  absl::Mutex m_mutex;
  // Connections that weren't shut down.
  size_t m_open ABSL_GUARDED_BY(m_mutex) = 0;
  // In the order in which they became idle, or were opened.
  std::list<Connection*> m_idle ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP_CONNECTION_LIST_H_
