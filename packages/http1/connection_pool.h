// Kept outgoing connections to one address.

#ifndef BRONZECROSS_HTTP1_CONNECTION_POOL_H_
#define BRONZECROSS_HTTP1_CONNECTION_POOL_H_

#include <memory>
#include <vector>

#include "http1/http_connection.h"

namespace bronzecross {

class ConnectionPool {
 public:
  // `kept_for`: how long an idle connection is used if its peer doesn't say.
  ConnectionPool(NetAddress address, Millis kept_for)
      : m_address(std::move(address)), m_kept_for(kept_for) {}

  // A kept connection that is still good, or a new one. Null if none can be
  // established by `deadline`.
  Task<std::unique_ptr<HttpConnection>> Take(Millis deadline);
  // Like Take(), but always a new connection.
  Task<std::unique_ptr<HttpConnection>> Open(Millis deadline);
  // Keeps a connection whose exchange is complete. Connections that can't carry
  // another one are closed.
  void Give(std::unique_ptr<HttpConnection> connection, Millis idle_until);
  void Give(std::unique_ptr<HttpConnection> connection);
  void Clear() { m_idle.clear(); }

  const NetAddress& GetAddress() const { return m_address; }

 private:
  NetAddress m_address;
  Millis m_kept_for;
  // Most recently used last.
  std::vector<std::unique_ptr<HttpConnection>> m_idle;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP1_CONNECTION_POOL_H_
