// Forwards a streamed completion to the caller event by event. A stream that
// fails is resumed on another upstream; if that is not possible, the caller
// gets an error event and the connection is closed.

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
  // `attempt` is a response with status 200 whose body was not read yet.
  CompletionStream(nlohmann::json request, Attempts attempts, Attempt attempt);

  // Implements BodyReader.
  Result<size_t> Read(std::span<char> buffer);

 private:
  enum class State {
    kOpen,
    kEnded,
    kAborting,  // the connection is closed after m_pending is sent
  };

  // Reads once from the upstream and updates m_pending and m_state.
  void ReadFromUpstream();
  Status ConsumeBytes(std::string_view piece);
  void HandleStreamError(const Error& error);
  // Returns whether the key guard cancelled the call.
  bool IsKeyWithdrawn();
  // Resumes the stream on another upstream. Returns whether that succeeded.
  bool Resume();
  void EndWithError(const Error& error);

  const nlohmann::json m_request;
  Attempts m_attempts;
  Attempt m_attempt;
  CompletionProgress m_progress;
  SseSplitter m_splitter;
  // Bytes for the caller that Read() has not returned yet.
  std::string m_pending;
  State m_state = State::kOpen;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_COMPLETION_STREAM_H_
