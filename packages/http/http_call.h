// An outgoing HTTP request and its complete response.

#ifndef BRONZECROSS_HTTP_HTTP_CALL_H_
#define BRONZECROSS_HTTP_HTTP_CALL_H_

#include <string>
#include <string_view>
#include <vector>

#include "http/cancel_token.h"
#include "http/http_message.h"

namespace bronzecross {

struct HttpCall {
  std::string m_method = "GET";
  std::string m_url;
  std::vector<HttpHeader> m_headers;
  // Must stay valid until the call ends.
  std::string_view m_body;
  Millis m_connect_timeout{1000};
  // Time limit of the whole call, including the reading of a streamed response.
  Millis m_timeout{10'000};
  // Whether to open a new connection. libcurl silently resends a request if a
  // reused connection turns out to be closed, which could run a non-idempotent
  // request twice.
  bool m_fresh_connection = false;
  // A socket whose hang-up cancels the call, or -1.
  int m_watch_fd = -1;
  // Cancels the call from another thread; may be null.
  const CancelToken* m_cancel = nullptr;
  size_t m_max_answer_bytes = 64 << 20;
};

struct HttpAnswer {
  int m_status = 0;
  std::vector<HttpHeader> m_headers;
  std::string m_body;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP_HTTP_CALL_H_
