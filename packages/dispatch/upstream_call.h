// One request at one upstream: sends it, waits for the head of the answer and
// then reads its body.

#ifndef BRONZECROSS_DISPATCH_UPSTREAM_CALL_H_
#define BRONZECROSS_DISPATCH_UPSTREAM_CALL_H_

#include <memory>
#include <string>
#include <string_view>

#include "aio/cancellation.h"
#include "dispatch/upstream.h"
#include "platform/request_headers.h"

namespace bronzecross {

enum class CallState {
  kAnswered,   // there is an answer of the upstream to this request
  kNotRun,     // it has not run there and never will
  kBroken,     // the connection broke, or the answer was spoiled
  kSilent,     // no answer came for the time that the caller allows
  kCancelled,  // the request is no longer wanted
  kTimedOut,   // the deadline passed
};

struct UpstreamRequest {
  const MessageHead* m_head = nullptr;  // as the upstream gets it
  std::string_view m_body;
  std::string_view m_request_id;
  Millis m_deadline;
  // Without a head of the answer for so long the call is given up, if it may be
  // repeated elsewhere; zero: it waits until the deadline.
  Millis m_silence_limit;
};

class UpstreamCall {
 public:
  // `cancellation` must outlive the call.
  UpstreamCall(UpstreamPtr upstream, Cancellation& cancellation);
  // Closes the connection unless Finish() kept it; the upstream then drops the
  // request.
  ~UpstreamCall();

  // Sends the request and waits for the answer's head.
  Task<CallState> Start(UpstreamRequest request);
  // The answer's head and fields; valid after kAnswered or a refusal.
  const MessageHead& Head() const { return m_connection->Parser().GetHead(); }
  // The answer's status, or 0 if there was no connection.
  int StatusOrZero() const {
    return m_connection == nullptr ? 0 : Head().m_status;
  }
  const platform::UpstreamFields& Fields() const { return m_fields; }

  // Waits until body bytes are there or the answer has ended, and moves the
  // bytes to `body`. `stop` is a further condition that ends the wait; it may
  // be null.
  Task<CallState> ReadBody(std::string& body, Millis deadline, Condition* stop);
  // Whether the answer is complete.
  bool IsComplete() const;
  // The body length that the answer's head states; -1: none.
  int64_t DeclaredLength() const;
  // Keeps the connection for a further request if it may carry one.
  void Finish();

 private:
  Task<CallState> Connect(Millis deadline);
  Task<CallState> WaitForHead(UpstreamRequest request);
  CallState CheckHead(std::string_view request_id);
  // Prepares the parser for the answer to a request with `method`.
  void ExpectAnswerTo(std::string_view method);
  bool IsStrayAnswer(std::string_view request_id) const;
  void NoteFirstByte();

  UpstreamPtr m_upstream;
  Cancellation& m_cancellation;
  std::unique_ptr<HttpConnection> m_connection;
  platform::UpstreamFields m_fields;
  Millis m_sent;  // zero once a byte of the answer has come
};

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_UPSTREAM_CALL_H_
