#include "online/sse_splitter.h"

namespace bronzecross {

bool SseSplitter::Add(std::string_view bytes) {
  if (m_bytes.size() + bytes.size() > kMaxBytes) {
    return false;
  }
  m_bytes += bytes;
  return true;
}

std::optional<std::string> SseSplitter::Next() {
  const size_t plain = m_bytes.find("\n\n");
  const size_t carriage = m_bytes.find("\r\n\r\n");
  if (plain == std::string::npos && carriage == std::string::npos) {
    return std::nullopt;
  }
  const bool is_plain = plain < carriage;
  const size_t end = is_plain ? plain : carriage;
  std::string event = m_bytes.substr(0, end);
  m_bytes.erase(0, end + (is_plain ? 2 : 4));
  return event;
}

}  // namespace bronzecross
