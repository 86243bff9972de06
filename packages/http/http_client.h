// Sends HTTP requests and keeps connections for reuse.

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
  // Sends `call` and reads the whole answer, whatever its HTTP status. Fails
  // if no whole answer came; the error says whether the request may have run.
  Result<HttpAnswer> Call(const HttpCall& call);

  // Sends `call` and returns once the answer's header is there.
  Result<std::unique_ptr<HttpStream>> Open(const HttpCall& call);

 private:
  friend class HttpStream;

  std::unique_ptr<CurlSession> Take(const std::string& origin);
  void Return(const std::string& origin, std::unique_ptr<CurlSession> session);

  absl::Mutex m_mutex;
  // Idle sessions by "scheme://host:port".
  std::map<std::string, std::vector<std::unique_ptr<CurlSession>>> m_idle
      ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP_HTTP_CLIENT_H_
