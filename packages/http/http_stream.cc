#include "http/http_stream.h"

#include <algorithm>
#include <cstring>

#include "http/http_client.h"

namespace bronzecross {

HttpStream::HttpStream(HttpClient& client,
                       std::string origin,
                       std::unique_ptr<CurlSession> session)
    : m_client(client),
      m_origin(std::move(origin)),
      m_session(std::move(session)) {}

HttpStream::~HttpStream() {
  m_client.Return(m_origin, std::move(m_session));
}

Result<size_t> HttpStream::Read(std::span<char> buffer) {
  const Status pumped = m_session->Pump();
  if (!pumped) {
    return tl::unexpected<Error>(pumped.error());
  }
  std::string& pending = m_session->Buffer();
  const size_t count = std::min(buffer.size(), pending.size());
  std::memcpy(buffer.data(), pending.data(), count);
  pending.erase(0, count);
  return count;
}

Result<std::string> HttpStream::ReadSome() {
  const Status pumped = m_session->Pump();
  if (!pumped) {
    return tl::unexpected<Error>(pumped.error());
  }
  std::string bytes;
  bytes.swap(m_session->Buffer());
  return bytes;
}

}  // namespace bronzecross
