// Finds the ends of server-sent events in a stream of bytes.

#ifndef BRONZECROSS_DISPATCH_EVENT_SPLITTER_H_
#define BRONZECROSS_DISPATCH_EVENT_SPLITTER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace bronzecross {

struct StreamEvent {
  int64_t m_id = -1;         // -1: the event has none
  std::string m_data;        // its data lines, separated by line feeds
  std::string_view m_bytes;  // the whole event with its closing empty line
};

class EventSplitter {
 public:
  void Feed(std::string_view bytes) { m_buffer.append(bytes); }
  // Takes the next whole event. Its bytes are valid until the next call.
  bool Next(StreamEvent& event);
  // Bytes of an event that hasn't ended.
  std::string_view Rest() const {
    return std::string_view(m_buffer).substr(m_taken);
  }
  void Clear();

 private:
  std::string m_buffer;
  size_t m_taken = 0;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_EVENT_SPLITTER_H_
