#include "http/curl_session.h"

#include <curl/curl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <mutex>

#include <absl/strings/str_cat.h>

#include "base/status_line.h"

namespace bronzecross {
namespace {

// Maximum duration of one poll.
constexpr int kMaxPollMs = 1000;

// Maximum size of the heads of a response, of the interim ones before it and of
// its trailer together.
constexpr size_t kMaxHeaderBytes = 256 << 10;

void InitCurlOnce() {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

}  // namespace

CurlSession::CurlSession() {
  InitCurlOnce();
  m_multi = curl_multi_init();
  m_easy = curl_easy_init();
  assert(m_multi != nullptr && m_easy != nullptr);
}

CurlSession::~CurlSession() {
  End();
  curl_easy_cleanup(m_easy);
  curl_multi_cleanup(m_multi);
}

void CurlSession::Begin(const HttpCall& call) {
  assert(!m_active);
  m_call = call;
  m_deadline = MonotonicNow() + call.m_timeout;
  m_buffer.clear();
  m_failure.reset();
  m_headers.clear();
  m_status = 0;
  m_header_done = false;
  m_header_bytes = 0;
  m_header_error = {};
  m_done = false;
  m_watching = call.m_watch_fd >= 0;

  curl_easy_reset(m_easy);
  curl_easy_setopt(m_easy, CURLOPT_URL, call.m_url.c_str());
  curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(m_easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
  curl_easy_setopt(m_easy, CURLOPT_HTTP_VERSION,
                   static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(m_easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(call.m_connect_timeout.count()));
  curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT,
                   call.m_fresh_connection ? 1L : 0L);
  curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &CurlSession::OnBody);
  curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &CurlSession::OnHeader);
  curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, call.m_method.c_str());
  if (call.m_method == "HEAD") {
    curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
  } else if (!call.m_body.empty() || call.m_method == "POST") {
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.m_body.size()));
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, call.m_body.data());
  }
  // Disables "Expect: 100-continue", for which libcurl waits up to a second.
  m_header_list = curl_slist_append(nullptr, "Expect:");
  for (const HttpHeader& header : call.m_headers) {
    const std::string line =
        header.m_value.empty()
            ? header.m_name + ";"
            : absl::StrCat(header.m_name, ": ", header.m_value);
    m_header_list = curl_slist_append(m_header_list, line.c_str());
  }
  curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_header_list);
  curl_multi_add_handle(m_multi, m_easy);
  m_active = true;
}

void CurlSession::End() {
  if (m_active) {
    curl_multi_remove_handle(m_multi, m_easy);
    m_active = false;
  }
  curl_slist_free_all(m_header_list);
  m_header_list = nullptr;
}

Status CurlSession::Pump() {
  while (m_buffer.empty() && !m_done) {
    const Status step = m_failure ? m_failure.value() : Step();
    if (step) {
      continue;
    }
    if (m_buffer.empty()) {
      return step;
    }
    // The bytes received before the failure are returned first.
    m_failure = step;
  }
  return {};
}

Status CurlSession::PumpHeader() {
  while (!m_header_done && !m_done) {
    const Status step = Step();
    if (!step) {
      return step;
    }
  }
  return {};
}

Status CurlSession::Step() {
  int running = 0;
  curl_multi_perform(m_multi, &running);
  int queued = 0;
  while (CURLMsg* message = curl_multi_info_read(m_multi, &queued)) {
    if (message->msg == CURLMSG_DONE) {
      if (message->data.result != CURLE_OK) {
        return tl::unexpected<Error>(TransferError(message->data.result));
      }
      if (!m_header_done) {
        return tl::unexpected<Error>(
            Error{ResultCode::kUpstreamFailed,
                  "the head of the response is incomplete", GetRunState()});
      }
      m_done = true;
    }
  }
  if (m_done || !m_buffer.empty()) {
    return {};
  }
  const Millis left = m_deadline - MonotonicNow();
  if (left <= Millis(0)) {
    return tl::unexpected<Error>(
        Error{ResultCode::kDeadlineExceeded,
              "no complete response before the deadline", GetRunState()});
  }
  std::array<curl_waitfd, 2> extra = {};
  unsigned int extra_count = 0;
  if (m_watching) {
    extra[extra_count++] = curl_waitfd{m_call.m_watch_fd, CURL_WAIT_POLLIN, 0};
  }
  if (m_call.m_cancel != nullptr) {
    extra[extra_count++] =
        curl_waitfd{m_call.m_cancel->Fd(), CURL_WAIT_POLLIN, 0};
  }
  curl_multi_poll(m_multi, extra.data(), extra_count,
                  std::min<int>(kMaxPollMs, static_cast<int>(left.count())),
                  nullptr);
  return CheckCancelled();
}

Status CurlSession::CheckCancelled() {
  if (m_call.m_cancel != nullptr && m_call.m_cancel->IsCancelled()) {
    return tl::unexpected<Error>(
        Error{ResultCode::kCancelled, "the call was cancelled", GetRunState()});
  }
  if (m_watching) {
    char byte = 0;
    const ssize_t received =
        recv(m_call.m_watch_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received == 0) {
      return tl::unexpected<Error>(
          Error{ResultCode::kCancelled, "the caller hung up", GetRunState()});
    }
    if (received > 0) {
      m_watching = false;
    }
  }
  return {};
}

RunState CurlSession::GetRunState() {
  // Zero until request bytes have been passed to the kernel.
  long request_bytes = 0;
  curl_easy_getinfo(m_easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  return request_bytes > 0 ? RunState::kUnknown : RunState::kNotRun;
}

Error CurlSession::TransferError(int curl_code) {
  if (!m_header_error.empty()) {
    return Error{ResultCode::kUpstreamFailed, std::string(m_header_error),
                 GetRunState()};
  }
  const CURLcode code = static_cast<CURLcode>(curl_code);
  ResultCode result = ResultCode::kUpstreamFailed;
  if (code == CURLE_OPERATION_TIMEDOUT) {
    result = ResultCode::kDeadlineExceeded;
  } else if (code == CURLE_PARTIAL_FILE ||
             (code == CURLE_RECV_ERROR && m_header_done)) {
    result = ResultCode::kStreamCut;
  } else if (code == CURLE_WRITE_ERROR) {
    result = ResultCode::kOverloaded;
  }
  return Error{result, curl_easy_strerror(code), GetRunState()};
}

size_t CurlSession::OnBody(char* data, size_t size, size_t count, void* self) {
  CurlSession* session = static_cast<CurlSession*>(self);
  if (session->m_buffer.size() + size * count >
      session->m_call.m_max_answer_bytes) {
    return 0;
  }
  session->m_buffer.append(data, size * count);
  return size * count;
}

size_t CurlSession::OnHeader(char* data,
                             size_t size,
                             size_t count,
                             void* self) {
  CurlSession* session = static_cast<CurlSession*>(self);
  const std::string_view line(data, size * count);
  session->m_header_bytes += line.size();
  if (session->m_header_bytes > kMaxHeaderBytes) {
    session->m_header_error = "the head of the response is too large";
    return 0;
  }
  if (session->m_header_done) {
    return size * count;  // a trailer
  }
  if (line.starts_with("HTTP/")) {
    const std::optional<int> status = ParseStatus(line);
    if (!status) {
      session->m_header_error = "the response has no valid status";
      return 0;
    }
    session->m_headers.clear();
    session->m_status = *status;
  } else if (Trim(line).empty()) {
    // A 1xx response is followed by the header of the final response.
    session->m_header_done = session->m_status >= 200;
  } else if (const size_t colon = line.find(':');
             colon != std::string_view::npos) {
    session->m_headers.push_back({std::string(Trim(line.substr(0, colon))),
                                  std::string(Trim(line.substr(colon + 1)))});
  }
  return size * count;
}

}  // namespace bronzecross
