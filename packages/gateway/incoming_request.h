// A caller's request as read from its connection.

#ifndef BRONZECROSS_GATEWAY_INCOMING_REQUEST_H_
#define BRONZECROSS_GATEWAY_INCOMING_REQUEST_H_

#include <string>

#include "aio/cancellation.h"
#include "fleet/fleet_config.h"
#include "gateway/caller_reply.h"
#include "http1/http_connection.h"
#include "platform/batch_calls.h"
#include "platform/request_headers.h"

namespace bronzecross {

struct IncomingRequest {
  MessageHead m_head;
  std::string m_body;
  platform::CallerFields m_fields;
  Millis m_arrived;  // when the head was complete
  // The configuration that applies to this request. It owns the route and the
  // workspace below, which are those of RequestAccess.
  FleetConfigPtr m_config;
  const Route* m_route = nullptr;
  const Workspace* m_workspace = nullptr;
  platform::JobCall m_job_call;
  // What the caller's connection holds of the memory budget.
  BudgetLease* m_lease = nullptr;
  // About how much memory the head and the body take.
  size_t m_held_bytes = 0;

  // The response to a HEAD request has the header fields of a body, but no
  // body.
  ResponseBody WantedBody() const {
    return m_head.m_method == "HEAD" ? ResponseBody::kNone
                                     : ResponseBody::kSent;
  }
};

// Cancels work once the caller has closed its connection, or `is_stopping` is
// set and the condition of Changed() notified.
class CallerCancellation : public Cancellation {
 public:
  // The arguments must outlive this object.
  CallerCancellation(HttpConnection& caller, const bool& is_stopping)
      : m_caller(caller), m_is_stopping(is_stopping) {}

  bool IsCancelled() override {
    return m_is_stopping || m_caller.HasPeerClosed();
  }
  Condition& Changed() override { return m_caller.Readable(); }

 private:
  HttpConnection& m_caller;
  const bool& m_is_stopping;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_INCOMING_REQUEST_H_
