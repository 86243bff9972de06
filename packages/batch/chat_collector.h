// Collects a streamed chat completion, so that an item that gives way keeps the
// tokens it already has.

#ifndef BRONZECROSS_BATCH_CHAT_COLLECTOR_H_
#define BRONZECROSS_BATCH_CHAT_COLLECTOR_H_

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace bronzecross {

struct ChatCollector {
  // The text so far, that of earlier runs included.
  std::string m_text;
  // The unfinished last line.
  std::string m_line;
  std::string m_id;
  std::string m_model;
  int64_t m_created = 0;
  std::string m_finish_reason;
  nlohmann::json m_usage;
  // Whether the closing event came.
  bool m_done = false;
  // Whether a chunk carries what a text alone can't hold.
  bool m_broken = false;
};

void CollectChat(ChatCollector& collector, std::string_view bytes);

// The completion as a plain answer's body. Call once done.
nlohmann::json CollectedChat(const ChatCollector& collector);

// The body to send so that the answer streams and goes on after `partial`.
// Null if the answer to `body` can't be collected from a stream (several
// choices, tools, log probabilities); it is sent as it is then.
nlohmann::json StreamingBody(std::string_view body, std::string_view partial);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_CHAT_COLLECTOR_H_
