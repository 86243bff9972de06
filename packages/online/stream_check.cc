#include "online/stream_check.h"

namespace bronzecross {
namespace {

constexpr std::string_view kDone = "data: [DONE]";
// Only the start of a line matters.
constexpr size_t kMaxLineBytes = 64;

}  // namespace

void FollowStream(StreamCheck& check, std::string_view bytes) {
  for (const char byte : bytes) {
    if (byte != '\n') {
      if (check.m_line.size() < kMaxLineBytes && byte != '\r') {
        check.m_line.push_back(byte);
      }
      continue;
    }
    if (check.m_line == kDone) {
      check.m_done = true;
    }
    check.m_line.clear();
  }
}

}  // namespace bronzecross
