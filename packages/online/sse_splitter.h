// Splits a stream of server-sent events, however its bytes arrive.

#ifndef BRONZECROSS_ONLINE_SSE_SPLITTER_H_
#define BRONZECROSS_ONLINE_SSE_SPLITTER_H_

#include <optional>
#include <string>
#include <string_view>

namespace bronzecross {

class SseSplitter {
 public:
  // Returns false, without taking the bytes, if the unfinished events get
  // longer than kMaxBytes.
  bool Add(std::string_view bytes);

  // The next whole event without its closing empty line; nothing if the rest
  // is unfinished. Lines may end in "\n" or "\r\n".
  std::optional<std::string> Next();

  void Clear() { m_bytes.clear(); }

 private:
  // An engine's events are a few hundred bytes; log probabilities make them
  // longer.
  static constexpr size_t kMaxBytes = 4 << 20;

  std::string m_bytes;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_SSE_SPLITTER_H_
