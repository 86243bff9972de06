// Splits a byte stream into server-sent events.

#ifndef BRONZECROSS_DISPATCH_EVENT_SPLITTER_H_
#define BRONZECROSS_DISPATCH_EVENT_SPLITTER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace bronzecross {

struct StreamEvent {
  int64_t m_id = -1;         // -1: the event has none
  std::string m_data;        // the data lines, joined by line feeds
  std::string_view m_bytes;  // the whole event including its final empty line
};

class EventSplitter {
 public:
  void Feed(std::string_view bytes) { m_buffer.append(bytes); }
  // Extracts the next complete event; returns false if there is none. Its
  // m_bytes are valid until the next call of Feed(), Next() or Clear().
  bool Next(StreamEvent& event);
  // Returns the bytes of the incomplete event at the end.
  std::string_view Rest() const {
    return std::string_view(m_buffer).substr(m_consumed);
  }
  // Whether an event has begun that isn't complete.
  bool IsInsideEvent() const {
    return Rest().find_first_not_of("\r\n") != std::string_view::npos;
  }
  // Discards all buffered bytes.
  void Clear();

 private:
  std::string m_buffer;
  size_t m_consumed = 0;  // length of the last event, at the buffer's start
};

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_EVENT_SPLITTER_H_
