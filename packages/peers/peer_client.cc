#include "peers/peer_client.h"

namespace bronzecross {

std::shared_ptr<PeerConnection> PeerClient::Connect(const NetAddress& address) {
  // Destroyed after the lock is released, as the destructor joins a thread.
  std::shared_ptr<PeerConnection> broken;
  absl::MutexLock lock(&m_mutex);
  std::shared_ptr<PeerConnection>& connection =
      m_connections[address.ToString()];
  if (connection == nullptr || connection->IsBroken()) {
    broken = std::move(connection);
    connection = std::make_shared<PeerConnection>(address);
  }
  return connection;
}

Result<std::string> PeerClient::Call(const NetAddress& address,
                                     std::string_view method,
                                     std::string body,
                                     Millis timeout) {
  return Connect(address)->Call(method, std::move(body), timeout);
}

void PeerClient::Disconnect(const NetAddress& address) {
  std::shared_ptr<PeerConnection> connection;
  absl::MutexLock lock(&m_mutex);
  const auto found = m_connections.find(address.ToString());
  if (found != m_connections.end()) {
    connection = std::move(found->second);
    m_connections.erase(found);
  }
}

}  // namespace bronzecross
