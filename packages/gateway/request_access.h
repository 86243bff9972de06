// Decides what a caller's request addresses, and in whose name. A request on a
// route is bound to the rules of that route. A call about a batch job isn't
// bound to any route: only its key says whose job it may use.
//
// Invariant: whether a request is about a job depends on the configuration and
// on whether the job exists, not on which jobs this VM remembers.

#ifndef BRONZECROSS_GATEWAY_REQUEST_ACCESS_H_
#define BRONZECROSS_GATEWAY_REQUEST_ACCESS_H_

#include <string_view>

#include "base/error.h"
#include "fleet/fleet_config.h"
#include "platform/batch_calls.h"
#include "platform/request_headers.h"

namespace bronzecross {

// Points into the configuration that the request was checked against.
struct RequestAccess {
  // Invariant: null if and only if m_job_call has a kind.
  const Route* m_route = nullptr;
  // Null for a caller without a key, and for requests on public routes that
  // aren't batch routes.
  const Workspace* m_workspace = nullptr;
  platform::JobCall m_job_call;
};

// What the configuration says of a request.
enum class RequestSubject {
  kRoute,         // it is a request on a route, or on none
  kJob,           // it is a call about a job
  kJobIfItExists  // it is a call about a job if that job exists, else kRoute
};

// Returns the call about a job that the request may be. `route`, which may be
// null, is the one that its host and path select.
platform::JobCall FindPossibleJobCall(const MessageHead& head,
                                      const platform::CallerFields& fields,
                                      std::string_view body,
                                      const Route* route);

// `call` is that of FindPossibleJobCall().
RequestSubject ClassifyRequest(const FleetConfig& config,
                               const platform::CallerFields& fields,
                               const platform::JobCall& call,
                               const Route* route);

// Returns whether the caller may use only jobs without a workspace.
bool IsAnonymous(const FleetConfig& config,
                 const platform::CallerFields& fields);

// `is_job_call` says whether the request is the call about a job `call`, which
// may have no kind otherwise. Fails with kUnknownRoute, kMissingKey or
// kInvalidKey if the request must not be served.
Result<RequestAccess> DecideAccess(const FleetConfig& config,
                                   const platform::CallerFields& fields,
                                   const platform::JobCall& call,
                                   const Route* route,
                                   bool is_job_call);

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_REQUEST_ACCESS_H_
