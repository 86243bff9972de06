#include "gateway/request_access.h"

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

// The paths of calls about jobs belong to the hosts of batch routes. On other
// hosts, a route that matches the path goes first, unless the job is known: its
// batch route may have been removed.
bool IsJobCall(const FleetConfig& config,
               std::string_view host,
               const Route* route,
               bool is_known_job) {
  return route == nullptr || HasBatchRoute(config, host) || is_known_job;
}

}  // namespace

Result<RequestAccess> DecideAccess(
    const FleetConfig& config,
    const MessageHead& head,
    const platform::CallerFields& fields,
    absl::FunctionRef<bool(std::string_view)> is_known_job) {
  const Route* route =
      FindRoute(config, fields.m_host, TargetPath(head.m_target));
  const bool needs_key = !config.m_workspaces.empty();
  platform::JobCall call = platform::DecodeJobCall(head);
  RequestAccess access;
  if (call.m_kind != platform::JobCallKind::kNone) {
    const bool is_known = is_known_job(call.m_job);
    if (IsJobCall(config, fields.m_host, route, is_known)) {
      const Result<const Workspace*> caller =
          IdentifyCaller(config, fields.m_key);
      if (!caller) {
        return tl::unexpected<Error>(caller.error());
      }
      // A caller without a key may only use jobs that were accepted without
      // one. Where there can't be any, the store isn't asked.
      if (*caller == nullptr && needs_key && !is_known &&
          !config.m_has_public_batch) {
        return FailMissingKey();
      }
      access.m_workspace = *caller;
      access.m_job_call = std::move(call);
      return access;
    }
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
  if (*caller == nullptr && needs_key && !route->m_public) {
    return FailMissingKey();
  }
  access.m_workspace = *caller;
  return access;
}

}  // namespace bronzecross
