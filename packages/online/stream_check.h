// Follows a stream of server-sent events and tells whether it ended whole.

#ifndef BRONZECROSS_ONLINE_STREAM_CHECK_H_
#define BRONZECROSS_ONLINE_STREAM_CHECK_H_

#include <string>
#include <string_view>

namespace bronzecross {

struct StreamCheck {
  // The unfinished last line.
  std::string m_line;
  bool m_done = false;
};

// Takes the next bytes of the stream.
void FollowStream(StreamCheck& check, std::string_view bytes);

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_STREAM_CHECK_H_
