// Tracks how much of a streamed completion the caller has received, and makes
// the request that continues it on another upstream.

#ifndef BRONZECROSS_ONLINE_COMPLETION_PROGRESS_H_
#define BRONZECROSS_ONLINE_COMPLETION_PROGRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "base/error.h"

namespace bronzecross {

struct CompletionProgress {
  // The response id in all chunks for the caller, also after a resumption.
  std::string m_id;
  // The id in the current upstream's chunks; empty before the first chunk.
  std::string m_upstream_id;
  // The text received so far.
  std::string m_text;
  int64_t m_chunks = 0;
  // Whether a chunk with a finish reason was received.
  bool m_finished = false;
  // Whether "[DONE]" was received: the response is complete.
  bool m_done = false;
  // Whether a chunk had output that is not in m_text, such as a tool call or a
  // second choice. Such a stream cannot be resumed.
  bool m_has_other_output = false;
};

// Updates `progress` with an event from the upstream and returns the event for
// the caller, without the empty line that ends it. Fails with kStreamCut (may
// have run) if the event is malformed, an error or part of another response.
Result<std::string> ConsumeEvent(CompletionProgress& progress,
                                 std::string event);

// Returns the body of a request that continues `request` after the text that
// the caller has received, or std::nullopt if it cannot be continued.
std::optional<std::string> ContinuationBody(const nlohmann::json& request,
                                            const CompletionProgress& progress);

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_COMPLETION_PROGRESS_H_
