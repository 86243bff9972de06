// Serves readiness checks and metrics.

#ifndef BRONZECROSS_GATEWAY_PROBE_SERVER_H_
#define BRONZECROSS_GATEWAY_PROBE_SERVER_H_

#include <functional>
#include <memory>

#include "aio/connection_table.h"
#include "aio/task.h"
#include "gateway/caller_reply.h"
#include "gateway/node.h"

namespace bronzecross {

// Returns the response to a readiness check or metrics request.
using ProbeHandler = std::function<CallerReply()>;

// Serves a connection of `table` on which `handler` responds to every request,
// whatever its target. `node` and `table` must outlive the task.
Task<> ServeProbes(Node& node,
                   ConnectionTable& table,
                   std::unique_ptr<TcpStream> stream,
                   ProbeHandler handler);

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_PROBE_SERVER_H_
