#include "gateway/request_access.h"

#include "jobs/job_record.h"

namespace bronzecross {
namespace {

tl::unexpected<Error> FailMissingKey() {
  return Fail(ResultCode::kMissingKey, "the request has no key");
}

// Returns the workspace of the caller, or null if the request has no key or the
// configuration has no workspaces. Fails with kInvalidKey.
Result<const Workspace*> IdentifyCaller(const FleetConfig& config,
                                        std::string_view key) {
  if (config.m_workspaces.empty() || key.empty()) {
    return nullptr;
  }
  const Workspace* workspace = FindWorkspaceByKey(config, key);
  if (workspace == nullptr) {
    return Fail(ResultCode::kInvalidKey, "the key is unknown");
  }
  return workspace;
}

// The paths of calls about jobs belong to the hosts of batch routes, and to the
// system where no route matches them.
bool HasJobPath(const FleetConfig& config,
                const platform::CallerFields& fields,
                const platform::JobCall& call,
                const Route* route) {
  return call.m_kind != platform::JobCallKind::kNone &&
         call.m_kind != platform::JobCallKind::kSubmitAgain &&
         (route == nullptr || HasBatchRoute(config, fields.m_host));
}

}  // namespace

platform::JobCall FindPossibleJobCall(const MessageHead& head,
                                      const platform::CallerFields& fields,
                                      std::string_view body,
                                      const Route* route) {
  platform::JobCall call = platform::DecodeJobCall(head);
  if (call.m_kind == platform::JobCallKind::kNone &&
      (route == nullptr || route->m_kind != RouteKind::kBatch)) {
    call = platform::DecodeRepeatedSubmission(head, fields.m_request_id, body);
  }
  return call;
}

bool IsAnonymous(const FleetConfig& config,
                 const platform::CallerFields& fields) {
  return !config.m_workspaces.empty() && fields.m_key.empty();
}

RequestSubject ClassifyRequest(const FleetConfig& config,
                               const platform::CallerFields& fields,
                               const platform::JobCall& call,
                               const Route* route) {
  if (call.m_kind == platform::JobCallKind::kNone) {
    return RequestSubject::kRoute;
  }
  const bool has_job_path = HasJobPath(config, fields, call, route);
  if (!IsValidJobId(call.m_job)) {
    return has_job_path ? RequestSubject::kJob : RequestSubject::kRoute;
  }
  // Without a key, only jobs that were accepted without one can be used. Where
  // there is no public batch route any more, few or none are left.
  const bool may_be_usable =
      !IsAnonymous(config, fields) || config.m_has_public_batch;
  return has_job_path && may_be_usable ? RequestSubject::kJob
                                       : RequestSubject::kJobIfItExists;
}

Result<RequestAccess> DecideAccess(const FleetConfig& config,
                                   const platform::CallerFields& fields,
                                   const platform::JobCall& call,
                                   const Route* route,
                                   bool is_job_call) {
  RequestAccess access;
  if (is_job_call) {
    const Result<const Workspace*> caller =
        IdentifyCaller(config, fields.m_key);
    if (!caller) {
      return tl::unexpected<Error>(caller.error());
    }
    access.m_workspace = *caller;
    access.m_job_call = call;
    return access;
  }
  if (HasJobPath(config, fields, call, route)) {
    return FailMissingKey();
  }
  if (route == nullptr) {
    return Fail(ResultCode::kUnknownRoute, "no route matches");
  }
  access.m_route = route;
  // A job is kept for the workspace of its key, so the key counts on a public
  // batch route, too.
  if (route->m_public && route->m_kind != RouteKind::kBatch) {
    return access;
  }
  const Result<const Workspace*> caller = IdentifyCaller(config, fields.m_key);
  if (!caller) {
    return tl::unexpected<Error>(caller.error());
  }
  if (*caller == nullptr && IsAnonymous(config, fields) && !route->m_public) {
    return FailMissingKey();
  }
  access.m_workspace = *caller;
  return access;
}

}  // namespace bronzecross
