// Blocking HTTP client that reuses connections.

#ifndef BRONZECROSS_HTTP_HTTP_CLIENT_H_
#define BRONZECROSS_HTTP_HTTP_CLIENT_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "http/curl_session.h"
#include "http/http_call.h"
#include "http/http_stream.h"

namespace bronzecross {

// Thread-safe. Calls block the calling thread.
class HttpClient {
 public:
  // Sends `call` and reads the complete response, whatever its HTTP status.
  // Fails if the response is missing or incomplete; the error states whether
  // the request may have run.
  Result<HttpAnswer> Call(const HttpCall& call);

  // Sends `call` and returns once the response header has been received.
  Result<std::unique_ptr<HttpStream>> Open(const HttpCall& call);

 private:
  friend class HttpStream;

  // Returns an idle session for `origin`, or a new one.
  std::unique_ptr<CurlSession> Take(const std::string& origin);
  // Ends the transfer of `session` and keeps it for reuse.
  void Return(const std::string& origin, std::unique_ptr<CurlSession> session);

  absl::Mutex m_mutex;
  // Idle sessions by "scheme://host:port".
  std::map<std::string, std::vector<std::unique_ptr<CurlSession>>> m_idle
      ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP_HTTP_CLIENT_H_
