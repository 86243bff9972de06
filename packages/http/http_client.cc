#include "http/http_client.h"

namespace bronzecross {
namespace {

// Maximum number of idle sessions kept per origin; further ones are closed.
constexpr size_t kMaxIdlePerOrigin = 256;

std::string GetOrigin(std::string_view url) {
  const size_t scheme = url.find("://");
  const size_t start = scheme == std::string_view::npos ? 0 : scheme + 3;
  return std::string(url.substr(0, url.find('/', start)));
}

}  // namespace

std::unique_ptr<CurlSession> HttpClient::Take(const std::string& origin) {
  absl::MutexLock lock(&m_mutex);
  std::vector<std::unique_ptr<CurlSession>>& idle = m_idle[origin];
  if (idle.empty()) {
    return std::make_unique<CurlSession>();
  }
  std::unique_ptr<CurlSession> session = std::move(idle.back());
  idle.pop_back();
  return session;
}

void HttpClient::Return(const std::string& origin,
                        std::unique_ptr<CurlSession> session) {
  session->End();
  absl::MutexLock lock(&m_mutex);
  std::vector<std::unique_ptr<CurlSession>>& idle = m_idle[origin];
  if (idle.size() < kMaxIdlePerOrigin) {
    idle.push_back(std::move(session));
  }
}

Result<std::unique_ptr<HttpStream>> HttpClient::Open(const HttpCall& call) {
  const std::string origin = GetOrigin(call.m_url);
  std::unique_ptr<CurlSession> session = Take(origin);
  session->Begin(call);
  const Status header = session->PumpHeader();
  if (!header) {
    Return(origin, std::move(session));
    return tl::unexpected<Error>(header.error());
  }
  return std::make_unique<HttpStream>(*this, origin, std::move(session));
}

Result<HttpAnswer> HttpClient::Call(const HttpCall& call) {
  Result<std::unique_ptr<HttpStream>> stream = Open(call);
  if (!stream) {
    return tl::unexpected<Error>(stream.error());
  }
  HttpAnswer response;
  response.m_status = (*stream)->HttpStatus();
  response.m_headers.assign((*stream)->Headers().begin(),
                            (*stream)->Headers().end());
  while (true) {
    const Result<std::string> piece = (*stream)->ReadSome();
    if (!piece) {
      return tl::unexpected<Error>(piece.error());
    }
    if (piece->empty()) {
      return response;
    }
    if (response.m_body.size() + piece->size() > call.m_max_answer_bytes) {
      return FailMayHaveRun(ResultCode::kUpstreamFailed,
                            "the response is larger than allowed");
    }
    response.m_body += *piece;
  }
}

}  // namespace bronzecross
