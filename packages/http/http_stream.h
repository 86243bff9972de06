// An HTTP response that is read incrementally.

#ifndef BRONZECROSS_HTTP_HTTP_STREAM_H_
#define BRONZECROSS_HTTP_HTTP_STREAM_H_

#include <memory>
#include <span>
#include <string>

#include "http/curl_session.h"

namespace bronzecross {

class HttpClient;

class HttpStream {
 public:
  HttpStream(HttpClient& client,
             std::string origin,
             std::unique_ptr<CurlSession> session);
  // Cancels the transfer if it has not ended.
  ~HttpStream();

  int HttpStatus() const { return m_session->HttpStatus(); }
  std::span<const HttpHeader> Headers() const { return m_session->Headers(); }

  // Waits for bytes and returns how many were stored in `buffer`; 0 only at the
  // end of a complete response.
  Result<size_t> Read(std::span<char> buffer);

  // Waits for bytes and returns all that are buffered; empty only at the end of
  // a complete response.
  Result<std::string> ReadSome();

 private:
  HttpClient& m_client;
  std::string m_origin;
  std::unique_ptr<CurlSession> m_session;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP_HTTP_STREAM_H_
