// Sends one request to upstreams until an answer comes or no further attempt is
// allowed. A request that is not idempotent is sent again only if no byte of it
// was sent.

#ifndef BRONZECROSS_ONLINE_ATTEMPTS_H_
#define BRONZECROSS_ONLINE_ATTEMPTS_H_

#include <memory>
#include <string>
#include <vector>

#include "http/http_stream.h"
#include "online/attempt_plan.h"
#include "online/attempt_shared.h"

namespace bronzecross {

// An answer that has begun, with the upstream that gives it.
struct Attempt {
  PickedUpstream m_upstream;
  std::unique_ptr<HttpStream> m_stream;
};

// Used by one thread at a time.
class Attempts {
 public:
  Attempts(AttemptShared& shared, AttemptPlan plan);

  // Opens the request on an upstream. The answer's status is final for the
  // caller. The error's run state covers all attempts.
  Result<Attempt> Open();

  // Opens the request and reads the whole answer.
  Result<HttpAnswer> Run();

  // Takes a failure after Open(). Returns whether Open() may be called again;
  // if not, FinalError() is for the caller.
  bool Failed(Attempt attempt, const Error& error);
  Error FinalError() const { return m_last; }

  // Takes the whole answer's end.
  void Succeeded(const Attempt& attempt);

  AttemptPlan& Plan() { return m_plan; }

 private:
  Result<PickedUpstream> Pick();
  Result<PickedUpstream> PickInTurn(const UpstreamRequirements& need);
  // Checks that the request may be sent at all.
  bool IsGivenUp() const;
  Status CheckAllowed();
  HttpCall MakeCall(const PickedUpstream& upstream) const;
  // Returns whether the answer that has begun is passed to the caller. If not,
  // sets m_last and whether another attempt is allowed.
  bool IsFinal(const Attempt& attempt, bool& again);
  bool TakeServerError(const Attempt& attempt, Millis retry_after);
  // Waits out the upstream's Retry-After. Returns whether it did.
  bool WaitOut(const std::string& upstream, Millis retry_after);
  bool TakeError(PickedUpstream& upstream, const Error& error);
  bool NoteCrash(const PickedUpstream& upstream, const Error& error);
  void SetLast(const Error& error);

  AttemptShared& m_shared;
  AttemptPlan m_plan;
  std::vector<std::string> m_failed;
  // The upstream to ask again after its Retry-After; empty: any.
  std::string m_again;
  std::vector<std::string> m_waited_out;
  Error m_last;
  // Whether any attempt may have run.
  bool m_may_have_run = false;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_ATTEMPTS_H_
