// One libcurl transfer at a time, with its kept connection. Used by one thread
// at a time.

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

  void Begin(const HttpCall& call);

  // Runs the transfer until body bytes are buffered or it has ended. Fails if
  // the transfer failed, was cancelled or ran out of time; the error says
  // whether a byte of the request may have reached the server.
  Status Pump();

  // Runs the transfer until the header is whole.
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
  Status CheckWatched();
  Error TransferError(int curl_code);
  RunState GetRunState();

  CURLM* m_multi;
  CURL* m_easy;
  curl_slist* m_header_list = nullptr;
  HttpCall m_call;
  Millis m_deadline;
  std::string m_buffer;
  std::vector<HttpHeader> m_headers;
  // Why the transfer failed, until the bytes before it are read.
  std::optional<Status> m_failure;
  int m_status = 0;
  bool m_active = false;
  bool m_header_done = false;
  bool m_done = false;
  // Cleared when the caller's socket has unread bytes, so that it is not
  // polled in a busy loop.
  bool m_watching = false;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP_CURL_SESSION_H_
