// Pool of persistent outgoing connections to one address.

#ifndef BRONZECROSS_HTTP1_CONNECTION_POOL_H_
#define BRONZECROSS_HTTP1_CONNECTION_POOL_H_

#include <memory>
#include <vector>

#include "http1/http_connection.h"

namespace bronzecross {

class ConnectionPool {
 public:
  // `idle_limit` is how long an idle connection stays usable if the peer does
  // not announce a time-out.
  ConnectionPool(NetAddress address, Millis idle_limit)
      : m_address(std::move(address)), m_idle_limit(idle_limit) {}

  // Returns an idle connection that is still usable, or a new one. Returns null
  // if none can be established by `deadline`.
  Task<std::unique_ptr<HttpConnection>> Take(Millis deadline);
  // Like Take(), but always opens a new connection.
  Task<std::unique_ptr<HttpConnection>> Open(Millis deadline);
  // Returns a connection to the pool after a complete exchange. It is closed if
  // it cannot carry another one.
  void Give(std::unique_ptr<HttpConnection> connection, Millis idle_until);
  void Give(std::unique_ptr<HttpConnection> connection);
  void Clear() { m_idle.clear(); }

  const NetAddress& GetAddress() const { return m_address; }

 private:
  NetAddress m_address;
  Millis m_idle_limit;
  // Idle connections, the most recently used last.
  std::vector<std::unique_ptr<HttpConnection>> m_idle;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP1_CONNECTION_POOL_H_
