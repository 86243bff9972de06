#include "dispatch/event_splitter.h"

#include "base/text.h"
#include "http1/message_head.h"

namespace bronzecross {
namespace {

// Returns the position after the first empty line of `text`; npos if there is
// none.
size_t FindEventEnd(std::string_view text) {
  for (size_t at = text.find('\n'); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    size_t next = at + 1;
    if (next < text.size() && text[next] == '\r') {
      ++next;
    }
    if (next < text.size() && text[next] == '\n') {
      return next + 1;
    }
  }
  return std::string_view::npos;
}

void ParseEvent(std::string_view bytes, StreamEvent& event) {
  event.m_id = -1;
  event.m_data.clear();
  bool has_data = false;
  for (std::string_view line : Split(bytes, '\n')) {
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (ConsumePrefix(line, "id:")) {
      event.m_id = ParseDecimal(TrimWhitespace(line)).value_or(-1);
    } else if (ConsumePrefix(line, "data:")) {
      ConsumePrefix(line, " ");
      if (has_data) {
        event.m_data += '\n';
      }
      event.m_data += line;
      has_data = true;
    }
  }
}

}  // namespace

bool EventSplitter::Next(StreamEvent& event) {
  if (m_consumed > 0) {
    m_buffer.erase(0, m_consumed);
    m_consumed = 0;
  }
  const size_t end = FindEventEnd(m_buffer);
  if (end == std::string::npos) {
    return false;
  }
  m_consumed = end;
  event.m_bytes = std::string_view(m_buffer).substr(0, end);
  ParseEvent(event.m_bytes, event);
  return true;
}

void EventSplitter::Clear() {
  m_buffer.clear();
  m_consumed = 0;
}

}  // namespace bronzecross
