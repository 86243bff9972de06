// Runs libcurl transfers one after the other over a persistent connection. Used
// by one thread at a time.

#ifndef BRONZECROSS_HTTP_CURL_SESSION_H_
#define BRONZECROSS_HTTP_CURL_SESSION_H_

#include <optional>
#include <string>
#include <vector>

#include "http/http_call.h"

typedef void CURL;
typedef void CURLM;
struct curl_slist;

namespace bronzecross {

class CurlSession {
 public:
  CurlSession();
  ~CurlSession();
  CurlSession(const CurlSession&) = delete;
  CurlSession& operator=(const CurlSession&) = delete;

  // Starts a transfer. No other transfer may be active.
  void Begin(const HttpCall& call);

  // Runs the transfer until body bytes are buffered or it has ended. Fails if
  // the transfer failed, was cancelled or timed out; the error states whether
  // any part of the request may have reached the server.
  Status Pump();

  // Runs the transfer until the response header is complete. Fails like Pump().
  Status PumpHeader();

  // Ends the transfer; an unfinished one closes its connection.
  void End();

  int HttpStatus() const { return m_status; }
  bool IsDone() const { return m_done; }
  std::string& Buffer() { return m_buffer; }
  std::vector<HttpHeader>& Headers() { return m_headers; }

 private:
  static size_t OnBody(char* data, size_t size, size_t count, void* self);
  static size_t OnHeader(char* data, size_t size, size_t count, void* self);

  Status Step();
  Status CheckCancelled();
  Error TransferError(int curl_code);
  RunState GetRunState();

  CURLM* m_multi;
  CURL* m_easy;
  curl_slist* m_header_list = nullptr;
  HttpCall m_call;
  Millis m_deadline;
  std::string m_buffer;
  std::vector<HttpHeader> m_headers;
  // Error of a failed transfer, reported once the bytes received before it have
  // been read.
  std::optional<Status> m_failure;
  int m_status = 0;
  bool m_active = false;
  // Whether the head of the final response is complete.
  bool m_header_done = false;
  size_t m_header_bytes = 0;  // also of interim responses and trailers
  // Why the head of the response was rejected; empty: it wasn't.
  std::string_view m_header_error;
  bool m_done = false;
  // Whether the caller's socket is polled for hang-up. Cleared when the socket
  // has unread bytes, since polling it would then never block.
  bool m_watching = false;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP_CURL_SESSION_H_
