// Serves one caller's connection: reads requests, checks them and dispatches
// them, one after the other.

#ifndef BRONZECROSS_GATEWAY_CALLER_CONNECTION_H_
#define BRONZECROSS_GATEWAY_CALLER_CONNECTION_H_

#include <memory>

#include "gateway/incoming_request.h"
#include "gateway/node.h"

namespace bronzecross {

// Runs until the connection is closed. `node` must outlive the task.
Task<> ServeCaller(Node& node, std::unique_ptr<TcpStream> stream);

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_CALLER_CONNECTION_H_
