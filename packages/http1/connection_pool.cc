#include "http1/connection_pool.h"

#include "base/metrics.h"

namespace bronzecross {

Task<std::unique_ptr<HttpConnection>> ConnectionPool::Take(Millis deadline) {
  while (!m_idle.empty()) {
    std::unique_ptr<HttpConnection> connection = std::move(m_idle.back());
    m_idle.pop_back();
    // A connection that received bytes while idle is closed, since they belong
    // to no request.
    if (MonotonicNow() < connection->m_idle_until &&
        !connection->HasPeerClosed() && !connection->HasUnparsedBytes()) {
      co_return connection;
    }
  }
  std::unique_ptr<HttpConnection> opened = co_await Open(deadline);
  co_return opened;
}

Task<std::unique_ptr<HttpConnection>> ConnectionPool::Open(Millis deadline) {
  std::unique_ptr<TcpStream> stream =
      co_await TcpStream::Connect(m_address, deadline);
  if (stream == nullptr) {
    co_return nullptr;
  }
  CountMetric("bronzecross_connections_opened_total");
  co_return std::make_unique<HttpConnection>(std::move(stream),
                                             MessageKind::kResponse);
}

void ConnectionPool::Give(std::unique_ptr<HttpConnection> connection) {
  Give(std::move(connection), MonotonicNow() + m_idle_limit);
}

void ConnectionPool::Give(std::unique_ptr<HttpConnection> connection,
                          Millis idle_until) {
  const MessageParser& parser = connection->Parser();
  if (parser.GetState() != ParseState::kComplete || !parser.MayKeepAlive() ||
      connection->QueuedBytes() > 0 || connection->HasUnparsedBytes()) {
    return;
  }
  connection->StartNextMessage();
  connection->m_idle_until = idle_until;
  connection->m_is_reused = true;
  m_idle.push_back(std::move(connection));
}

}  // namespace bronzecross
