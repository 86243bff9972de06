// Passes a streamed completion to the caller event by event. A stream that
// breaks is continued on another upstream, or ended by an error event and a cut
// connection.

#ifndef BRONZECROSS_ONLINE_COMPLETION_STREAM_H_
#define BRONZECROSS_ONLINE_COMPLETION_STREAM_H_

#include <span>
#include <string>

#include "online/attempts.h"
#include "online/completion_progress.h"
#include "online/sse_splitter.h"

namespace bronzecross {

// Used by one thread at a time.
class CompletionStream {
 public:
  // `attempt` is an answer of status 200 that has begun.
  CompletionStream(nlohmann::json request, Attempts attempts, Attempt attempt);

  // A BodyReader.
  Result<size_t> Read(std::span<char> buffer);

 private:
  enum class State {
    kOpen,
    kEnded,
    kCut,  // the connection is cut once m_pending is out
  };

  void Step();
  Status TakePiece(std::string_view piece);
  void TakeBreak(const Error& error);
  bool IsKeyWithdrawn();
  // Continues on another upstream. Returns whether it goes on.
  bool Resume();
  void EndWithError(const Error& error);

  const nlohmann::json m_request;
  Attempts m_attempts;
  Attempt m_attempt;
  CompletionProgress m_progress;
  SseSplitter m_splitter;
  std::string m_pending;
  State m_state = State::kOpen;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_COMPLETION_STREAM_H_
