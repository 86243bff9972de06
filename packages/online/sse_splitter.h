// Splits a byte stream into server-sent events.

#ifndef BRONZECROSS_ONLINE_SSE_SPLITTER_H_
#define BRONZECROSS_ONLINE_SSE_SPLITTER_H_

#include <optional>
#include <string>
#include <string_view>

namespace bronzecross {

class SseSplitter {
 public:
  // Appends bytes from the stream. Returns false, without appending them, if
  // the buffer would exceed kMaxBytes.
  bool Add(std::string_view bytes);

  // Returns the next complete event without the empty line that ends it, or
  // std::nullopt if there is none. Lines may end in "\n" or "\r\n".
  std::optional<std::string> Next();

  void Clear() { m_bytes.clear(); }

 private:
  // Engines send events of a few hundred bytes; log probabilities make them
  // longer.
  static constexpr size_t kMaxBytes = 4 << 20;

  std::string m_bytes;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_SSE_SPLITTER_H_
