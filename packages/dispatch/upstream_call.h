// Sends one request to one upstream, waits for the head of the response and
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
  kResponded,     // the upstream has responded to this request
  kNotRun,        // the request was not and will not be run by the upstream
  kUnsendable,    // a part of the request's head can't be sent anywhere
  kBroken,        // the connection broke, or the response was invalid
  kUnresponsive,  // no response within m_response_timeout
  kCancelled,     // the request was cancelled
  kTimedOut,      // the deadline passed
};

// Returns the name of `state` in logs.
std::string_view CallStateName(CallState state);

struct UpstreamRequest {
  const MessageHead* m_head = nullptr;  // as sent to the upstream
  std::string_view m_body;
  std::string_view m_request_id;
  Millis m_deadline;
  // Maximum wait for the head of the response, set if the request may be
  // retried at another upstream; zero: it waits until the deadline.
  Millis m_response_timeout;
};

class UpstreamCall {
 public:
  // `cancellation` must outlive the call.
  UpstreamCall(UpstreamPtr upstream, Cancellation& cancellation);
  // Closes the connection unless Finish() has returned it to the pool; the
  // upstream then cancels the request.
  ~UpstreamCall();

  // Sends the request and waits for the head of the response.
  Task<CallState> Start(UpstreamRequest request);
  // Head and header fields of the response; valid after kResponded, and
  // after kNotRun if the upstream sent a rejection.
  const MessageHead& Head() const { return m_connection->Parser().GetHead(); }
  // Status of the response, or 0 if there was no connection.
  int StatusOrZero() const {
    return m_connection == nullptr ? 0 : Head().m_status;
  }
  const platform::UpstreamFields& Fields() const { return m_fields; }

  // Waits until body bytes are available or the response is complete, and
  // appends the bytes to `body`. `stop` is another condition that ends the
  // wait; it may be null. A response that is incomplete at `deadline` ends
  // with kTimedOut although more bytes may be available.
  Task<CallState> ReadBody(std::string& body, Millis deadline, Condition* stop);
  // Returns true if the response is complete.
  bool IsComplete() const;
  // Whether only the end of the connection marks the end of the body, so that a
  // response that was broken off may count as complete.
  bool EndsWithConnection() const;
  // Returns the body length declared in the response head; -1 if there is none.
  int64_t DeclaredLength() const;
  // Records a failure of the upstream: the body isn't a valid response.
  void MarkBroken();
  // Returns the connection to the pool if it can be reused.
  void Finish();

 private:
  Task<CallState> Connect(Millis deadline);
  Task<CallState> WaitForHead(UpstreamRequest request);
  // Checks the head of a response that isn't known to be a stray one.
  // `may_be_stray`: whether the upstream may owe responses to other requests on
  // this connection.
  CallState CheckHead(std::string_view request_id, bool may_be_stray);
  // Prepares the parser for the response to a request with `method`.
  void ExpectResponseTo(std::string_view method);
  bool IsStrayResponse(std::string_view request_id) const;
  void EndFirstByteWait();
  Task<> YieldAfterManyReads();

  UpstreamPtr m_upstream;
  Cancellation& m_cancellation;
  std::unique_ptr<HttpConnection> m_connection;
  platform::UpstreamFields m_fields;
  int m_reads_in_turn = 0;  // since the task last waited
  Millis m_sent;  // zero once the first byte of the response has arrived
};

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_UPSTREAM_CALL_H_
