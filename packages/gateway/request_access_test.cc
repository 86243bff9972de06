#include <doctest/doctest.h>

#include <string>

#include "base/text.h"
#include "gateway/request_access.h"

namespace bronzecross {
namespace {

Route MakeRoute(std::string host, std::string prefix, RouteKind kind) {
  Route route;
  route.m_name = Concat(host, prefix);
  route.m_host = std::move(host);
  route.m_prefix = std::move(prefix);
  route.m_kind = kind;
  return route;
}

FleetConfigPtr MakeConfig(std::vector<Route> routes, bool has_workspaces) {
  std::shared_ptr<FleetConfig> config = std::make_shared<FleetConfig>();
  config->m_routes = std::move(routes);
  if (has_workspaces) {
    config->m_workspaces = {{"a", {"key-a"}}, {"b", {"key-b"}}};
  }
  IndexConfig(*config);
  return config;
}

struct Decision {
  ResultCode m_code = ResultCode::kOk;
  std::string m_route;
  std::string m_workspace;
  std::string m_job;  // empty: a request on a route
};

struct Call {
  std::string m_method = "GET";
  std::string m_host = "h";
  std::string m_target = "/api/lots/j1?after=0";
  std::string m_key = "key-a";
  std::string m_body;
  bool m_exists = false;  // the job
};

Decision Decide(const FleetConfigPtr& config, const Call& call) {
  MessageHead head;
  head.m_method = call.m_method;
  head.m_target = call.m_target;
  platform::CallerFields fields;
  fields.m_host = call.m_host;
  fields.m_key = call.m_key;
  fields.m_request_id = "j1";
  const Route* route =
      FindRoute(*config, fields.m_host, TargetPath(head.m_target));
  const platform::JobCall job_call =
      FindPossibleJobCall(head, fields, call.m_body, route);
  const RequestSubject subject =
      ClassifyRequest(*config, fields, job_call, route);
  const Result<RequestAccess> access = DecideAccess(
      *config, fields, job_call, route,
      subject == RequestSubject::kJob ||
          (subject == RequestSubject::kJobIfItExists && call.m_exists));
  Decision decision;
  if (!access) {
    decision.m_code = access.error().m_code;
    return decision;
  }
  CHECK((access->m_route == nullptr) ==
        (access->m_job_call.m_kind != platform::JobCallKind::kNone));
  decision.m_route = access->m_route == nullptr ? "" : access->m_route->m_name;
  decision.m_workspace =
      access->m_workspace == nullptr ? "" : access->m_workspace->m_name;
  decision.m_job = access->m_job_call.m_job;
  return decision;
}

// Guards against calls about jobs in the name of nobody, because some route of
// the host matches their path, too (review case 6).
TEST_CASE("the key alone says whose job a call may use, whatever the routes") {
  for (const std::string& prefix :
       {std::string("/"), std::string("/api/"), std::string("/api/lots/"),
        std::string("/api/items/")}) {
    for (const bool is_public : {false, true}) {
      for (const RouteKind kind :
           {RouteKind::kIdempotent, RouteKind::kNonIdempotent,
            RouteKind::kStreaming, RouteKind::kBatch}) {
        CAPTURE(prefix);
        CAPTURE(is_public);
        Route other = MakeRoute("h", prefix, kind);
        other.m_public = is_public;
        const FleetConfigPtr config = MakeConfig(
            {MakeRoute("h", "/batch/", RouteKind::kBatch), other}, true);
        for (const Call& call :
             {Call{}, Call{.m_method = "DELETE", .m_target = "/api/lots/j1"},
              Call{.m_target = "/api/items/j1?id=i"}}) {
          const Decision decision = Decide(config, call);
          CHECK(decision.m_code == ResultCode::kOk);
          CHECK(decision.m_workspace == "a");
          CHECK(decision.m_job == "j1");
        }
        CHECK(Decide(config, {.m_key = "key-b"}).m_workspace == "b");
        CHECK(Decide(config, {.m_key = "old"}).m_code ==
              ResultCode::kInvalidKey);
        const bool may_be_anonymous = is_public && kind == RouteKind::kBatch;
        CHECK(Decide(config, {.m_key = ""}).m_code ==
              (may_be_anonymous ? ResultCode::kOk : ResultCode::kMissingKey));
      }
    }
  }
}

TEST_CASE("a job can be used after its batch route was removed") {
  const FleetConfigPtr none = MakeConfig({}, true);
  CHECK(Decide(none, {}).m_workspace == "a");
  CHECK(Decide(none, {}).m_job == "j1");
  Route whole = MakeRoute("h", "/", RouteKind::kIdempotent);
  whole.m_public = true;
  const FleetConfigPtr replaced = MakeConfig({whole}, true);
  const Decision known = Decide(replaced, {.m_exists = true});
  CHECK(known.m_job == "j1");
  CHECK(known.m_workspace == "a");
}

// Guards against requests on ordinary routes that are answered as calls about
// jobs because of their path.
TEST_CASE("a route of a host without batch routes serves every path under it") {
  const FleetConfigPtr config =
      MakeConfig({MakeRoute("h", "/batch/", RouteKind::kBatch),
                  MakeRoute("shop", "/api/", RouteKind::kIdempotent)},
                 true);
  const Decision decision =
      Decide(config, {.m_host = "Shop:80", .m_target = "/api/items/7?id=3"});
  CHECK(decision.m_route == "shop/api/");
  CHECK(decision.m_job.empty());
  CHECK(decision.m_workspace == "a");
  // Methods that no call about jobs has.
  CHECK(Decide(config, {.m_method = "POST"}).m_code ==
        ResultCode::kUnknownRoute);
}

TEST_CASE(
    "a job on a public batch route belongs to the key that it came with") {
  Route batch = MakeRoute("h", "/batch/", RouteKind::kBatch);
  batch.m_public = true;
  const FleetConfigPtr config = MakeConfig({batch}, true);
  const Call submit{.m_method = "POST", .m_target = "/batch/x"};
  CHECK(Decide(config, submit).m_workspace == "a");
  Call other = submit;
  other.m_key = "";
  CHECK(Decide(config, other).m_code == ResultCode::kOk);
  CHECK(Decide(config, other).m_workspace.empty());
  other.m_key = "old";
  CHECK(Decide(config, other).m_code == ResultCode::kInvalidKey);
}

// Guards against calls about a job that are passed on to an upstream because
// this VM doesn't know the job, and requests that are withheld from their route
// because of their path (review case 12).
TEST_CASE("an ordinary route gets what may be about a job if there is none") {
  const std::string items =
      R"({"items":[{"id":"a","path":"/p","body":"","tokens":1}]})";
  const std::vector<Call> calls = {
      Call{}, Call{.m_method = "DELETE", .m_target = "/api/lots/j1"},
      Call{.m_target = "/api/items/j1?id=i"},
      Call{.m_method = "POST", .m_target = "/batch/x", .m_body = items}};
  for (const std::string& prefix : {std::string("/"), std::string("/api/lots/"),
                                    std::string("/batch/x/")}) {
    for (const bool is_public : {false, true}) {
      Route route = MakeRoute("h", prefix, RouteKind::kIdempotent);
      route.m_public = is_public;
      const FleetConfigPtr config = MakeConfig(
          {route, MakeRoute("other", "/batch/", RouteKind::kBatch)}, true);
      for (Call call : calls) {
        CAPTURE(prefix);
        CAPTURE(call.m_target);
        const bool matches =
            FindRoute(*config, "h", TargetPath(call.m_target)) != nullptr;
        call.m_exists = true;
        CHECK(Decide(config, call).m_job == "j1");
        CHECK(Decide(config, call).m_workspace == "a");
        call.m_exists = false;
        if (matches) {
          CHECK(Decide(config, call).m_route == Concat("h", prefix));
        }
      }
    }
  }
  // A longer prefix beside the batch route, and bodies of another form.
  const FleetConfigPtr config =
      MakeConfig({MakeRoute("h", "/batch/", RouteKind::kBatch),
                  MakeRoute("h", "/batch/x/", RouteKind::kNonIdempotent)},
                 true);
  Call again{.m_method = "POST", .m_target = "/batch/x/y", .m_body = items};
  CHECK(Decide(config, again).m_route == "h/batch/x/");
  again.m_exists = true;
  CHECK(Decide(config, again).m_job == "j1");
  for (const char* body :
       {"", "question", "{}", R"({"items":[]})", R"({"items":[{"id":"a"}]})"}) {
    again.m_body = body;
    CHECK(Decide(config, again).m_route == "h/batch/x/");
  }
  again.m_body = items;
  again.m_target = "/batch/y";
  CHECK(Decide(config, again).m_route == "h/batch/");
}

TEST_CASE("without a key, only jobs that came without one can be used") {
  const FleetConfigPtr config =
      MakeConfig({MakeRoute("h", "/batch/", RouteKind::kBatch)}, true);
  CHECK(Decide(config, {.m_key = "", .m_exists = true}).m_job == "j1");
  CHECK(Decide(config, {.m_key = ""}).m_code == ResultCode::kMissingKey);
}

TEST_CASE("without workspaces, no request needs a key") {
  const FleetConfigPtr config =
      MakeConfig({MakeRoute("h", "/batch/", RouteKind::kBatch)}, false);
  CHECK(Decide(config, {.m_key = "any"}).m_job == "j1");
  CHECK(Decide(config, {.m_key = "any"}).m_workspace.empty());
  CHECK(Decide(config, {.m_method = "POST", .m_target = "/batch/x"}).m_route ==
        "h/batch/");
}

}  // namespace
}  // namespace bronzecross
