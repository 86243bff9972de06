// A complete request and response over a pooled connection.

#ifndef BRONZECROSS_HTTP1_EXCHANGE_H_
#define BRONZECROSS_HTTP1_EXCHANGE_H_

#include <string>

#include "base/error.h"
#include "http1/connection_pool.h"

namespace bronzecross {

struct WholeRequest {
  MessageHead m_head;  // Host, Content-Type and Content-Length are added
  std::string m_body;
};

struct WholeResponse {
  MessageHead m_head;
  std::string m_body;
};

// Sends `request` and reads the response, whose body may have up to
// `body_limit` bytes. Fails with kPeerUnavailable; Error::m_run states whether
// the peer may have read the request.
Task<Result<WholeResponse>> Exchange(ConnectionPool& pool,
                                     WholeRequest request,
                                     Millis deadline,
                                     size_t body_limit);

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP1_EXCHANGE_H_
