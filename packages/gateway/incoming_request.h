// A caller's request as it was read from its connection.

#ifndef BRONZECROSS_GATEWAY_INCOMING_REQUEST_H_
#define BRONZECROSS_GATEWAY_INCOMING_REQUEST_H_

#include <string>

#include "aio/cancellation.h"
#include "fleet/fleet_config.h"
#include "gateway/caller_reply.h"
#include "http1/http_connection.h"
#include "platform/request_headers.h"

namespace bronzecross {

struct IncomingRequest {
  MessageHead m_head;
  std::string m_body;
  platform::CallerFields m_fields;
  Millis m_arrived;  // when its head was complete
  // The configuration that decides about this request. It stays alive with it.
  FleetConfigPtr m_config;
  const Route* m_route = nullptr;
  const Workspace* m_workspace = nullptr;  // null on public routes

  // A HEAD request's response has the fields of its body, but no body.
  ResponseBody WantedBody() const {
    return m_head.m_method == "HEAD" ? ResponseBody::kNone
                                     : ResponseBody::kSent;
  }
};

// Cancels work when the caller has closed its connection.
class CallerCancellation : public Cancellation {
 public:
  explicit CallerCancellation(HttpConnection& caller) : m_caller(caller) {}

  bool IsCancelled() override { return m_caller.HasPeerLeft(); }
  Condition& Changed() override { return m_caller.Readable(); }

 private:
  HttpConnection& m_caller;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_INCOMING_REQUEST_H_
