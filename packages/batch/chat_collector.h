// Assembles a chat completion from its event stream, so that a preempted item
// keeps the text that was already generated.

#ifndef BRONZECROSS_BATCH_CHAT_COLLECTOR_H_
#define BRONZECROSS_BATCH_CHAT_COLLECTOR_H_

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace bronzecross {

struct ChatCollector {
  // The text so far, including that of earlier runs.
  std::string m_text;
  // The received part of a line whose end has not arrived yet.
  std::string m_partial_line;
  std::string m_id;
  std::string m_model;
  int64_t m_created = 0;
  std::string m_finish_reason;
  nlohmann::json m_usage;
  // Whether the final [DONE] event has been received.
  bool m_done = false;
  // Whether a chunk was malformed or reported an error; the text must not be
  // used as a result then.
  bool m_invalid = false;
};

// Processes the next bytes of the event stream.
void CollectChat(ChatCollector& collector, std::string_view bytes);

// Returns the completion as the body of a response without streaming. Call only
// when m_done is set.
nlohmann::json BuildCompletion(const ChatCollector& collector);

// Returns the request body that makes the upstream stream the response and
// continue after the text `partial`. Returns null if the response to `body`
// can't be assembled from a stream (several choices, tools, log probabilities);
// `body` is then to be sent unchanged.
nlohmann::json MakeStreamingBody(std::string_view body,
                                 std::string_view partial);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_CHAT_COLLECTOR_H_
