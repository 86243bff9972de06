#include "gateway/job_submission.h"

#include <algorithm>
#include <iterator>

#include "base/log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/text.h"
#include "gateway/job_calls.h"
#include "gateway/peer_calls.h"
#include "jobs/job_placement.h"
#include "jobs/job_service.h"
#include "placement/home_regions.h"
#include "platform/submission_decoder.h"

namespace bronzecross {
namespace {

// Number of VMs of other groups whose reports are compared for one job.
constexpr int kSampledPeers = 24;

// Maximum age of a report. Messages between groups come every 0.8 s or so.
constexpr Millis kMaxReportAge{1'800};

// Time for another VM to store a job, if the caller leaves enough for a second
// attempt here. It is longer than a VM tries to store a job that the store
// rejects (350 ms), so that the rejection is reported in time.
constexpr Millis kForwardTimeout{500};

// Part of it that is left for the reply.
constexpr Millis kForwardMargin{50};

// Part of the wait budget that is needed to store the job here after the other
// VM didn't reply.
constexpr Millis kOwnAttemptTime{700};

constexpr int kAccepted = 202;
constexpr int kMisdirected = 421;

// Calls `visit` with the number of unfinished batch items of this VM's group
// and the slots that it prefers, for each service with such items.
void ForEachBatchService(
    const Node& node,
    const GossipMessage& own,
    Millis now,
    absl::FunctionRef<void(uint32_t, int items, int slots)> visit) {
  if (node.m_config == nullptr) {
    return;
  }
  for (const Service& service : node.m_config->m_services) {
    const uint32_t key = ShortHash(service.m_name);
    int items = 0;
    int slots = 0;
    for (const UpstreamPtr& upstream :
         node.m_upstreams.SubsetOf(service.m_name)) {
      items += upstream->Batch();
      slots += upstream->TakesRequests() ? upstream->m_entry.m_slots : 0;
    }
    for (const BatchBacklog& backlog : own.m_backlogs) {
      items += backlog.m_service == key ? backlog.m_items : 0;
    }
    node.m_cluster.ForEachGroupPeer([&](std::string_view, const PeerVm& peer) {
      if (!IsRecentlySeen(peer, now, kMaxGossipAge)) {
        return;
      }
      for (const BatchBacklog& backlog : peer.m_gossip.m_backlogs) {
        items += backlog.m_service == key ? backlog.m_items : 0;
      }
    });
    // Engines without items are reported, too: a VM that reports nothing takes
    // no jobs of others.
    if (items > 0 || service.m_is_engine) {
      visit(key, items, slots);
    }
  }
}

double OwnBatchLoad(const Node& node, uint32_t service, Millis now) {
  GossipMessage own;
  node.m_jobs->Scheduler().AddToGossip(own);
  double load = 0;
  ForEachBatchService(node, own, now, [&](uint32_t key, int items, int slots) {
    load = key == service ? ComputeBatchLoad(items, slots) : load;
  });
  return load;
}

std::optional<double> ReportedLoad(const GossipMessage& gossip,
                                   uint32_t service) {
  for (const BatchLoadReport& report : gossip.m_batch_loads) {
    if (report.m_service == service) {
      return report.m_load;
    }
  }
  return std::nullopt;
}

// Returns the VM of another group that should run a new job of `service`, or an
// empty string.
std::string FindJobHost(const Node& node, std::string_view service) {
  const VmGroup& group = node.m_cluster.OwnGroup();
  const std::map<std::string, PeerVm, std::less<>>& peers =
      node.m_cluster.Peers();
  if (group.m_is_whole_fleet || peers.empty()) {
    return "";
  }
  const Millis now = MonotonicNow();
  const uint32_t key = ShortHash(service);
  std::vector<JobHostCandidate> candidates;
  std::vector<std::string> ids;
  auto peer = std::next(peers.begin(), static_cast<ptrdiff_t>(RandomBelow(
                                           ThreadRandom(), peers.size())));
  const size_t sampled =
      std::min(peers.size(), static_cast<size_t>(kSampledPeers));
  for (size_t i = 0; i < sampled; ++i) {
    const PeerVm& vm = peer->second;
    const std::optional<double> load = ReportedLoad(vm.m_gossip, key);
    if (load && !group.Contains(peer->first) && vm.m_gossip.m_reaches_store &&
        IsRecentlySeen(vm, now, kMaxReportAge)) {
      candidates.push_back(
          {*load, vm.m_record.m_zone == node.m_settings.m_zone});
      ids.push_back(peer->first);
    }
    ++peer;
    peer = peer == peers.end() ? peers.begin() : peer;
  }
  const std::optional<size_t> host =
      ChooseJobHost(OwnBatchLoad(node, key, now), candidates);
  return host ? ids[*host] : "";
}

// A submission on its way to the store.
struct Submission {
  std::string m_job;
  std::string m_workspace;
  std::string m_host;
  Millis m_deadline;
};

Task<CallerReply> SubmitHere(Node& node,
                             const Route& route,
                             Submission submission,
                             std::vector<JobItem> items) {
  JobSpec spec;
  spec.m_id = submission.m_job;
  spec.m_workspace = submission.m_workspace;
  spec.m_route = route.m_name;
  spec.m_host = submission.m_host;
  spec.m_submitted = WallNow();
  spec.m_due = spec.m_submitted + route.m_due;
  spec.m_retained_until = spec.m_submitted + route.m_retention;
  spec.m_items = std::move(items);
  const Status submitted = co_await node.m_jobs->Submit(
      std::move(spec), route.m_waiting_tokens, submission.m_deadline);
  if (!submitted) {
    co_return MakeErrorReply(submitted.error());
  }
  CallerReply reply;
  reply.m_status = kAccepted;
  co_return reply;
}

// Passes a submission on to `host`. Fails with RunState::kNotRun if the job
// doesn't exist there and never will.
Task<Result<CallerReply>> Forward(Node& node,
                                  std::string host,
                                  std::string route,
                                  Submission submission,
                                  std::string body) {
  const Millis until = MonotonicNow() + kForwardTimeout;
  WholeRequest request;
  request.m_head.m_method = "POST";
  request.m_head.m_target =
      Concat(kPeerSubmitPath, "?job=", EncodeQueryValue(submission.m_job),
             "&workspace=", EncodeQueryValue(submission.m_workspace),
             "&route=", EncodeQueryValue(route),
             "&host=", EncodeQueryValue(submission.m_host),
             "&wait=", (kForwardTimeout - kForwardMargin).count());
  request.m_body = std::move(body);
  Result<WholeResponse> response =
      co_await node.m_peer_calls->Call(host, std::move(request), until);
  if (!response) {
    co_return tl::unexpected<Error>(response.error());
  }
  CallerReply reply;
  reply.m_status = static_cast<int>(
      ParseDecimal(response->m_head.Find(kPeerStatusField)).value_or(0));
  if (reply.m_status == kMisdirected) {
    co_return Fail(ResultCode::kNotOwner, "the VM can't run the job");
  }
  if (reply.m_status == 0) {
    co_return FailMayHaveRun(ResultCode::kPeerUnavailable,
                             "the reply of the VM is malformed");
  }
  reply.m_content_type =
      std::string(response->m_head.Find(kPeerContentTypeField));
  reply.m_retry_after = Millis(
      ParseDecimal(response->m_head.Find(kPeerRetryAfterField)).value_or(0));
  reply.m_body = std::move(response->m_body);
  co_return reply;
}

// Passes the submission on if another group should run it. Returns nothing if
// it is to be submitted here; sets `may_exist` if the other VM may store it all
// the same.
Task<std::optional<CallerReply>> TryForward(Node& node,
                                            const IncomingRequest& request,
                                            Submission submission,
                                            bool& may_exist) {
  const bool has_time = MonotonicNow() + kForwardTimeout + kOwnAttemptTime <
                        submission.m_deadline;
  // The groups of other regions may not hold the items of a job with homes.
  const bool has_homes =
      AllowedRegionsOf(*request.m_route, request.m_workspace).IsLimited();
  if (!node.m_settings.m_forward_jobs || !has_time || has_homes ||
      node.m_jobs->IsOwner(submission.m_job) ||
      !node.m_jobs->OwnerOf(submission.m_job).empty()) {
    co_return std::nullopt;
  }
  const std::string host =
      FindJobHost(node, PickService(*request.m_route, ThreadRandom()));
  if (host.empty()) {
    co_return std::nullopt;
  }
  Result<CallerReply> reply = co_await Forward(
      node, host, request.m_route->m_name, submission, request.m_body);
  Log(Severity::kInfo, LogPart::kBatch, "Passed a job on to another group.",
      {{"job", submission.m_job},
       {"to", host},
       {"status", reply ? reply->m_status : 0},
       {"reason", reply ? "" : reply.error().m_message}});
  CountMetric("bronzecross_jobs_forwarded_total",
              {{"outcome", reply ? "answered" : "failed"}});
  if (reply) {
    co_return *std::move(reply);
  }
  may_exist = reply.error().m_run == RunState::kUnknown;
  co_return std::nullopt;
}

}  // namespace

void AddBatchLoads(const Node& node, GossipMessage& message, Millis now) {
  std::vector<BatchLoadReport> loads;
  ForEachBatchService(node, message, now,
                      [&](uint32_t key, int items, int slots) {
                        loads.push_back({key, ComputeBatchLoad(items, slots)});
                      });
  message.m_batch_loads = std::move(loads);
}

Task<CallerReply> ServeSubmission(Node& node, IncomingRequest& request) {
  const std::string& job = request.m_fields.m_request_id;
  Result<std::vector<JobItem>> items =
      IsValidJobId(job)
          ? platform::DecodeSubmission(request.m_body)
          : Fail(ResultCode::kInvalidArgument, "the id of the job is invalid");
  if (!items) {
    const CallerReply reply = MakeErrorReply(items.error());
    LogJobCall(request, "submit", job, reply);
    co_return reply;
  }
  const Submission submission{
      job, request.m_workspace == nullptr ? "" : request.m_workspace->m_name,
      request.m_fields.m_host, JobCallDeadline(request)};
  bool may_exist = false;
  std::optional<CallerReply> forwarded =
      co_await TryForward(node, request, submission, may_exist);
  CallerReply reply;
  if (forwarded) {
    reply = *std::move(forwarded);
  } else {
    reply = co_await SubmitHere(node, *request.m_route, submission,
                                *std::move(items));
  }
  if (may_exist && ImpliesNotRun(reply.m_status)) {
    reply = MakeErrorReply(FailMayHaveRun(ResultCode::kStoreUnavailable,
                                          "another VM may still accept the job")
                               .value());
  }
  LogJobCall(request, "submit", job, reply);
  co_return reply;
}

Task<CallerReply> ServeForwardedSubmission(Node& node,
                                           MessageHead head,
                                           std::string body) {
  CallerReply misdirected;
  misdirected.m_status = kMisdirected;
  const FleetConfigPtr config = node.m_config;
  const Route* route =
      config == nullptr
          ? nullptr
          : FindRouteByName(*config,
                            QueryValue(head.m_target, "route").value_or(""));
  Result<std::vector<JobItem>> items = platform::DecodeSubmission(body);
  const Submission submission{
      QueryValue(head.m_target, "job").value_or(""),
      QueryValue(head.m_target, "workspace").value_or(""),
      QueryValue(head.m_target, "host").value_or(""),
      MonotonicNow() +
          Millis(ParseDecimal(QueryValue(head.m_target, "wait").value_or("0"))
                     .value_or(0))};
  if (route == nullptr || route->m_kind != RouteKind::kBatch || !items ||
      !IsValidJobId(submission.m_job) || !node.m_kv.ReachesDirectly() ||
      node.m_draining_since != Millis()) {
    co_return misdirected;
  }
  CallerReply reply =
      co_await SubmitHere(node, *route, submission, *std::move(items));
  co_return reply;
}

}  // namespace bronzecross
