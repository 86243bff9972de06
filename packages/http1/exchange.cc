#include "http1/exchange.h"

#include "base/text.h"
#include "http1/write_message.h"

namespace bronzecross {

Task<Result<WholeResponse>> Exchange(ConnectionPool& pool,
                                     WholeRequest request,
                                     Millis deadline,
                                     size_t body_limit) {
  std::unique_ptr<HttpConnection> connection = co_await pool.Take(deadline);
  if (connection == nullptr) {
    co_return Fail(ResultCode::kPeerUnavailable,
                   Concat("cannot connect to ", pool.GetAddress().ToString()));
  }
  request.m_head.Add("Host", pool.GetAddress().ToString());
  if (!request.m_body.empty()) {
    request.m_head.Add("Content-Type", "application/json");
  }
  request.m_head.Add("Content-Length", Concat(request.m_body.size()));
  const std::optional<std::string> head = WriteRequestHead(request.m_head);
  if (!head) {
    co_return Fail(ResultCode::kInvalidArgument,
                   "the head of the request can't be sent");
  }
  connection->Queue(*head);
  connection->Queue(request.m_body);
  bool done = co_await connection->FlushAll(deadline);
  if (done) {
    done = co_await connection->ReadHead(deadline);
  }
  if (done) {
    done = co_await connection->ReadBody(deadline, body_limit);
  }
  if (!done) {
    co_return FailMayHaveRun(
        ResultCode::kPeerUnavailable,
        Concat("no complete response from ", pool.GetAddress().ToString()));
  }
  WholeResponse response;
  response.m_head = connection->Parser().GetHead();
  response.m_body = std::move(connection->Parser().Body());
  pool.Give(std::move(connection));
  co_return response;
}

}  // namespace bronzecross
