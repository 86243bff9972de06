// Decides what a caller's request addresses, and in whose name. A request on a
// route is bound to the rules of that route. A call about a batch job isn't
// bound to any route: only its key says whose job it may use.

#ifndef BRONZECROSS_GATEWAY_REQUEST_ACCESS_H_
#define BRONZECROSS_GATEWAY_REQUEST_ACCESS_H_

#include <string_view>

#include <absl/functional/function_ref.h>

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

// `is_known_job` returns whether this VM knows a job with the given id. Fails
// with kUnknownRoute, kMissingKey or kInvalidKey if the request must not be
// served.
Result<RequestAccess> DecideAccess(
    const FleetConfig& config,
    const MessageHead& head,
    const platform::CallerFields& fields,
    absl::FunctionRef<bool(std::string_view)> is_known_job);

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_REQUEST_ACCESS_H_
