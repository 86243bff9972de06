// Calls methods of other VMs over one persistent connection to each.

#ifndef BRONZECROSS_PEERS_PEER_CLIENT_H_
#define BRONZECROSS_PEERS_PEER_CLIENT_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <absl/synchronization/mutex.h>

#include "base/error.h"
#include "base/net_address.h"
#include "peers/peer_connection.h"

namespace bronzecross {

// Thread-safe. Calls block the calling thread.
class PeerClient {
 public:
  // Fails with kPeerUnavailable if the peer is unreachable or does not reply in
  // time; the run state of the error tells whether the call may have run.
  Result<std::string> Call(const NetAddress& address,
                           std::string_view method,
                           std::string body,
                           Millis timeout);

  // Closes the connection to a VM that has left the cluster.
  void Disconnect(const NetAddress& address);

 private:
  std::shared_ptr<PeerConnection> Connect(const NetAddress& address);

  absl::Mutex m_mutex;
  std::map<std::string, std::shared_ptr<PeerConnection>> m_connections
      ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_PEERS_PEER_CLIENT_H_
