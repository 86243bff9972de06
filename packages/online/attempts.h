// Sends one request to upstreams and retries failed attempts while the deadline
// and the retry budget allow it. A request that is not idempotent is retried
// only if no byte of it was sent.

#ifndef BRONZECROSS_ONLINE_ATTEMPTS_H_
#define BRONZECROSS_ONLINE_ATTEMPTS_H_

#include <memory>
#include <string>
#include <vector>

#include "http/http_stream.h"
#include "online/attempt_context.h"
#include "online/attempt_plan.h"

namespace bronzecross {

// A response whose status and headers were received, and its upstream.
struct Attempt {
  PickedUpstream m_upstream;
  std::unique_ptr<HttpStream> m_stream;
};

// Used by one thread at a time.
class Attempts {
 public:
  Attempts(AttemptContext& context, AttemptPlan plan);

  // Sends the request and returns once the headers of a response that goes to
  // the caller were received. The run state of an error covers all attempts.
  Result<Attempt> Open();

  // Sends the request and reads the whole response.
  Result<HttpAnswer> Run();

  // Reports an error while the response was read. Returns whether Open() may be
  // called again; if not, the caller gets FinalError().
  bool ReportFailure(Attempt attempt, const Error& error);
  Error FinalError() const { return m_last_error; }

  // Reports that the whole response was received.
  void ReportSuccess(const Attempt& attempt);

  AttemptPlan& Plan() { return m_plan; }

 private:
  Result<PickedUpstream> Pick();
  Result<PickedUpstream> PickFromQueue(const UpstreamRequirements& need);
  // Returns whether the caller hung up or the key guard cancelled the call.
  bool IsAbandoned() const;
  // Fails with kDeadlineExceeded after the deadline, or with kPoisonedRequest
  // if the request crashed too many upstreams.
  Status CheckAllowed();
  HttpCall MakeCall(const PickedUpstream& upstream) const;
  // Returns whether the response goes to the caller. If not, sets m_last_error
  // and `retry`, which says whether another attempt is allowed.
  bool IsFinalResponse(const Attempt& attempt, bool& retry);
  // Handles a status of 429 or 5xx. Returns whether another attempt is allowed.
  bool HandleServerError(const Attempt& attempt, Millis retry_after);
  // Waits for the upstream's Retry-After time, once per upstream. Returns false
  // if the deadline comes first, the upstream was waited for before or the
  // call was abandoned.
  bool WaitForRetryAfter(const std::string& upstream, Millis retry_after);
  // Handles a failed attempt. Returns whether another attempt is allowed.
  bool HandleError(PickedUpstream& upstream, const Error& error);
  // Charges the request with a crash of the upstream if the connection failed
  // while the request may have run and the upstream is down. Returns whether it
  // did.
  bool RecordCrash(const PickedUpstream& upstream, const Error& error);
  void SetLastError(const Error& error);

  AttemptContext& m_context;
  AttemptPlan m_plan;
  std::vector<std::string> m_failed_upstreams;
  // The upstream to retry on after its Retry-After time; empty: any.
  std::string m_retry_upstream;
  // Upstreams whose Retry-After was waited for.
  std::vector<std::string> m_waited_upstreams;
  Error m_last_error;
  // Whether an upstream may have run the request in any attempt.
  bool m_may_have_run = false;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_ATTEMPTS_H_
