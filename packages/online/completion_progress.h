// How far a streamed completion has come at the caller, and the request that
// continues it on another upstream.

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
  // The id of the answer; all its chunks have it, also after a resumption.
  std::string m_id;
  // The id in the chunks of the present upstream, empty before its first.
  std::string m_upstream_id;
  std::string m_text;
  int64_t m_chunks = 0;
  // The last token is out.
  bool m_finished = false;
  // "[DONE]" is out: the answer is complete.
  bool m_done = false;
  // A chunk carried something that the partial text does not hold, such as a
  // tool call or a second choice.
  bool m_beyond_text = false;
};

// Takes one event from the upstream. Returns the event for the caller, without
// its closing empty line; empty if it is not passed on. Fails with kStreamCut
// (may have run) if the event is of another answer or not understood.
Result<std::string> TakeEvent(CompletionProgress& progress, std::string event);

// The body that continues `request` after the text that the caller has, or
// nothing if that is not possible.
std::optional<std::string> ContinuationBody(const nlohmann::json& request,
                                            const CompletionProgress& progress);

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_COMPLETION_PROGRESS_H_
