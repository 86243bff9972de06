// A whole request and its whole response over a pool of kept connections.

#ifndef BRONZECROSS_HTTP1_EXCHANGE_H_
#define BRONZECROSS_HTTP1_EXCHANGE_H_

#include <string>

#include "base/error.h"
#include "http1/connection_pool.h"

namespace bronzecross {

struct WholeRequest {
  MessageHead m_head;  // without Content-Length, which is added
  std::string m_body;
};

struct WholeResponse {
  MessageHead m_head;
  std::string m_body;
};

// Fails with kPeerUnavailable: `m_run` tells whether the peer may have read the
// request.
Task<Result<WholeResponse>> Exchange(ConnectionPool& pool,
                                     WholeRequest request,
                                     Millis deadline,
                                     size_t body_limit);

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP1_EXCHANGE_H_
