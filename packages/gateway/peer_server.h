// Serves the calls of other VMs.

#ifndef BRONZECROSS_GATEWAY_PEER_SERVER_H_
#define BRONZECROSS_GATEWAY_PEER_SERVER_H_

#include <memory>

#include "gateway/node.h"

namespace bronzecross {

// Serves one connection of a peer until it is closed. `node` must outlive the
// task.
Task<> ServePeer(Node& node, std::unique_ptr<TcpStream> stream);

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_PEER_SERVER_H_
