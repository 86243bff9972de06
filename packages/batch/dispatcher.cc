#include "batch/dispatcher.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include "base/log.h"
#include "base/metrics.h"
#include "batch/item_runner.h"
#include "batch/next_job.h"
#include "membership/rendezvous.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kTick{50};
constexpr size_t kCallThreads = 16;
// Shorter than kAssignmentCheckAge in job_run.cc, the age at which an owner
// checks whether an assigned item is still held.
constexpr Millis kTakeTimeout{2500};
// How long no batch items are sent to an upstream after a failure.
constexpr Millis kPauseAfterFailure{500};
// Delay before a job that returned no items is asked again.
constexpr Millis kEmptyTakeBackoff{50};
constexpr Millis kPreemptionTimeout{500};
// No further items are requested while there are more unacknowledged outcomes
// than this.
constexpr size_t kMaxUnacknowledged = 2000;
constexpr Millis kStopTimeout{3000};

std::string FindCapability(const UpstreamSpec& spec, const AnnouncedJob& job) {
  if (spec.m_kind == UpstreamKind::kService) {
    const std::string capability = "s:" + spec.m_service;
    return job.m_ready.contains(capability) ? capability : "";
  }
  for (const std::string& model : spec.m_models) {
    const std::string capability = "m:" + model;
    if (job.m_ready.contains(capability)) {
      return capability;
    }
  }
  return "";
}

std::vector<Member> NonDrainingMembers(const Membership& membership) {
  std::vector<Member> members = membership.Live();
  std::erase_if(members,
                [](const Member& member) { return member.m_draining; });
  return members;
}

}  // namespace

// The items that this VM holds for one upstream, apart from those in the
// outbox.
struct Dispatcher::UpstreamQueue {
  std::deque<AssignedItem> m_unsent;
  std::map<uint64_t, ActiveRun> m_running;
  bool m_request_in_flight = false;
  // Whether new items are held back until a suspected poison request can run
  // exclusively, and whether one runs now.
  bool m_draining = false;
  bool m_exclusive_running = false;
  Millis m_paused_until;
  std::map<std::string, Millis> m_empty_until;
};

Dispatcher::Dispatcher(JobContext& context,
                       AnnouncedJobs& announced_jobs,
                       UpstreamAccess access,
                       HttpClient& http,
                       BatchOptions options)
    : m_context(context),
      m_announced_jobs(announced_jobs),
      m_access(std::move(access)),
      m_http(http),
      m_options(options),
      m_dispatcher_id(DispatcherId(context.m_membership.Self().m_id,
                                   context.m_membership.Self().m_incarnation)),
      m_outbox(context, announced_jobs),
      m_call_pool(kCallThreads),
      m_item_pool(static_cast<size_t>(options.m_max_running)) {}

Dispatcher::~Dispatcher() {
  Stop();
}

void Dispatcher::Start() {
  m_thread = std::thread([this] { Run(); });
  m_preemption_thread = std::thread([this] { SendPreemptions(); });
}

void Dispatcher::Stop() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
    for (const auto& [name, queue] : m_upstream_queues) {
      ReturnUnsent(*queue);
      for (auto& [run, running] : queue->m_running) {
        if (running.m_item.m_idempotent) {
          running.m_cancel->Cancel();
        }
      }
    }
  }
  if (m_thread.joinable()) {
    m_thread.join();
    m_preemption_thread.join();
  }
  const Millis deadline = MonotonicNow() + kStopTimeout;
  const auto idle = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    return m_running_total == 0;
  };
  {
    absl::MutexLock lock(&m_mutex);
    m_mutex.AwaitWithTimeout(absl::Condition(&idle),
                             absl::Milliseconds(kStopTimeout.count()));
    for (const auto& [name, queue] : m_upstream_queues) {
      for (auto& [run, running] : queue->m_running) {
        running.m_cancel->Cancel();
      }
    }
  }
  m_outbox.Drain(deadline - MonotonicNow());
}

bool Dispatcher::IsDispatcherFor(std::string_view upstream) const {
  return FirstMember(absl::StrCat("upstream:", std::string(upstream)),
                     NonDrainingMembers(m_context.m_membership)) ==
         m_context.m_membership.Self().m_id;
}

void Dispatcher::Run() {
  while (true) {
    {
      absl::MutexLock lock(&m_mutex);
      const auto wake = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        return m_stopping || m_wake;
      };
      m_mutex.AwaitWithTimeout(absl::Condition(&wake),
                               absl::Milliseconds(kTick.count()));
      if (m_stopping) {
        return;
      }
      m_wake = false;
    }
    const std::vector<AnnouncedJob> jobs =
        m_announced_jobs.Jobs(MonotonicNow());
    CancelStoppingJobs(jobs);
    const std::shared_ptr<const ConfigSnapshot> config =
        m_context.m_config.Get();
    for (const UpstreamSpec& spec : config->GetManifest().m_upstreams) {
      UpdateUpstream(spec, jobs);
    }
    m_outbox.SendDue();
  }
}

void Dispatcher::CancelStoppingJobs(const std::vector<AnnouncedJob>& jobs) {
  for (const AnnouncedJob& job : jobs) {
    if (job.m_stopping) {
      CancelJob(job.m_id);
    }
  }
}

void Dispatcher::CancelJob(const std::string& job) {
  absl::MutexLock lock(&m_mutex);
  for (const auto& [name, queue] : m_upstream_queues) {
    std::erase_if(queue->m_unsent,
                  [&](const AssignedItem& item)
                      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                        if (item.m_job != job) {
                          return false;
                        }
                        --m_held_by_workspace[item.m_workspace];
                        return true;
                      });
    for (auto& [run, running] : queue->m_running) {
      if (running.m_item.m_job == job) {
        running.m_cancelled = true;
        running.m_cancel->Cancel();
      }
    }
  }
}

std::vector<uint64_t> Dispatcher::HeldItems(const std::string& job) const {
  std::vector<uint64_t> indexes;
  {
    absl::MutexLock lock(&m_mutex);
    for (const auto& [name, queue] : m_upstream_queues) {
      for (const AssignedItem& item : queue->m_unsent) {
        if (item.m_job == job) {
          indexes.push_back(item.m_index);
        }
      }
      for (const auto& [run, running] : queue->m_running) {
        if (running.m_item.m_job == job) {
          indexes.push_back(running.m_item.m_index);
        }
      }
    }
  }
  // The outbox is read after the queues: an item moves from a queue to the
  // outbox and never back, so none is missed.
  for (const uint64_t index : m_outbox.Indexes(job)) {
    indexes.push_back(index);
  }
  return indexes;
}

int64_t Dispatcher::ComputeCapacity(const UpstreamSpec& spec,
                                    const BatchLoad& load,
                                    UpstreamQueue& queue) {
  CapacityInput input;
  input.m_slots = spec.m_slots;
  input.m_fill_target = m_options.m_fill_target;
  input.m_reserved_slots =
      spec.m_kind == UpstreamKind::kEngine ? m_options.m_reserve_slots : 0;
  input.m_online = load.m_own_online + load.m_peers_online;
  input.m_peers_batch = load.m_peers_batch;
  input.m_unattributed = load.m_unattributed;
  input.m_own_batch = std::count_if(
      queue.m_running.begin(), queue.m_running.end(),
      [](const auto& entry) { return !entry.second.m_cancelled; });
  return BatchCapacity(input);
}

void Dispatcher::UpdateUpstream(const UpstreamSpec& spec,
                                const std::vector<AnnouncedJob>& jobs) {
  const bool is_dispatcher = IsDispatcherFor(spec.m_name);
  const Millis now = MonotonicNow();
  absl::MutexLock lock(&m_mutex);
  std::unique_ptr<UpstreamQueue>& queue = m_upstream_queues[spec.m_name];
  if (queue == nullptr) {
    queue = std::make_unique<UpstreamQueue>();
  }
  const BatchLoad load = m_access.m_load(spec);
  const int64_t capacity = ComputeCapacity(spec, load, *queue);
  if (capacity < 0) {
    PreemptExcess(spec.m_name, *queue, -capacity);
  }
  if (!is_dispatcher || !load.m_usable) {
    ReturnUnsent(*queue);
    return;
  }
  if (now < queue->m_paused_until || m_stopping) {
    return;
  }
  if (capacity > 0) {
    StartItems(spec, *queue, capacity);
  }
  RequestMoreItems(spec, *queue, ComputeCapacity(spec, load, *queue), jobs);
}

void Dispatcher::PreemptExcess(const std::string& name,
                               UpstreamQueue& queue,
                               int64_t excess) {
  std::vector<RunningItem> items;
  for (const auto& [run, running] : queue.m_running) {
    if (!running.m_cancelled && running.m_item.m_idempotent) {
      items.push_back({run, running.m_started});
    }
  }
  const std::vector<uint64_t> chosen = SelectItemsToPreempt(items, excess);
  for (const uint64_t run : chosen) {
    ActiveRun& running = queue.m_running.at(run);
    running.m_cancelled = true;
    running.m_cancel->Cancel();
  }
  if (!chosen.empty()) {
    CountMetric("bronzecross_batch_yields_total", {},
                static_cast<double>(chosen.size()));
    Log(Severity::kInfo, LogPart::kBatch, "Preempted batch items.",
        {{"upstream", name}, {"items", chosen.size()}, {"excess", excess}});
  }
}

void Dispatcher::ReturnUnsent(UpstreamQueue& queue) {
  while (!queue.m_unsent.empty()) {
    const AssignedItem& item = queue.m_unsent.front();
    ItemOutcome outcome;
    outcome.m_index = item.m_index;
    outcome.m_kind = OutcomeKind::kNotRun;
    outcome.m_dispatcher_id = m_dispatcher_id;
    m_outbox.Add(item.m_job, item.m_owner, std::move(outcome));
    --m_held_by_workspace[item.m_workspace];
    queue.m_unsent.pop_front();
  }
}

void Dispatcher::StartItems(const UpstreamSpec& spec,
                            UpstreamQueue& queue,
                            int64_t capacity) {
  while (capacity > 0 && !queue.m_unsent.empty() &&
         !queue.m_exclusive_running &&
         m_running_total < m_options.m_max_running) {
    const bool exclusive = queue.m_unsent.front().m_exclusive;
    if (queue.m_draining && !exclusive) {
      return;
    }
    if (exclusive && !queue.m_running.empty()) {
      return;
    }
    Result<PickedUpstream> picked =
        m_access.m_pick(spec, queue.m_unsent.front().m_job);
    if (!picked) {
      queue.m_paused_until = MonotonicNow() + kPauseAfterFailure;
      return;
    }
    const uint64_t run = ++m_last_run_id;
    ActiveRun& running = queue.m_running[run];
    running.m_item = std::move(queue.m_unsent.front());
    running.m_started = MonotonicNow();
    queue.m_unsent.pop_front();
    queue.m_exclusive_running = exclusive;
    queue.m_draining = queue.m_draining && !exclusive;
    ++m_running_total;
    --capacity;
    const std::shared_ptr<PickedUpstream> in_flight =
        std::make_shared<PickedUpstream>(std::move(*picked));
    m_item_pool.Submit([this, run, in_flight] { ExecuteRun(run, in_flight); });
  }
}

void Dispatcher::RequestMoreItems(const UpstreamSpec& spec,
                                  UpstreamQueue& queue,
                                  int64_t capacity,
                                  const std::vector<AnnouncedJob>& jobs) {
  // A few items are prefetched, so that an item that ends is replaced at once.
  const int64_t prefetch = std::max<int64_t>(1, spec.m_slots / 4);
  const int64_t wanted = std::max<int64_t>(0, capacity) + prefetch -
                         static_cast<int64_t>(queue.m_unsent.size());
  const bool idle = queue.m_running.empty();
  if (queue.m_request_in_flight || queue.m_exclusive_running || wanted <= 0 ||
      (queue.m_draining ? !idle : capacity <= 0) ||
      m_outbox.Size() > kMaxUnacknowledged) {
    return;
  }
  const Millis now = MonotonicNow();
  std::vector<JobCandidate> candidates;
  for (const AnnouncedJob& job : jobs) {
    const std::string capability = FindCapability(spec, job);
    const auto empty = queue.m_empty_until.find(job.m_id);
    const bool recently_empty =
        empty != queue.m_empty_until.end() && now < empty->second;
    candidates.push_back({job.m_id, job.m_workspace, job.m_deadline,
                          capability.empty() || recently_empty || job.m_stopping
                              ? 0
                              : job.m_ready.at(capability),
                          m_held_by_workspace[job.m_workspace]});
  }
  const std::optional<size_t> chosen = ChooseNextJob(candidates);
  if (!chosen) {
    queue.m_draining = false;
    return;
  }
  const AnnouncedJob& job = jobs[*chosen];
  queue.m_request_in_flight = true;
  const json request = {
      {"job", job.m_id},         {"need", FindCapability(spec, job)},
      {"max", wanted},           {"holder", m_dispatcher_id},
      {"upstream", spec.m_name}, {"idle", idle && queue.m_draining}};
  m_call_pool.Submit([this, name = spec.m_name, job, request] {
    RequestItems(name, job, request);
  });
}

void Dispatcher::RequestItems(const std::string& upstream,
                              const AnnouncedJob& job,
                              const json& request) {
  const Result<json> reply =
      m_context.m_call(job.m_owner, "batch.take", request, kTakeTimeout);
  absl::MutexLock lock(&m_mutex);
  UpstreamQueue& queue = *m_upstream_queues.at(upstream);
  queue.m_request_in_flight = false;
  m_wake = true;
  size_t taken = 0;
  try {
    if (reply) {
      queue.m_draining = reply->at("drain").get<bool>();
      for (const json& message : reply->at("items")) {
        AssignedItem item = AssignedItemFromJson(message);
        item.m_job = job.m_id;
        item.m_owner = job.m_owner;
        item.m_workspace = job.m_workspace;
        ++m_held_by_workspace[item.m_workspace];
        // A suspected poison request runs before the items that are held back
        // for it.
        if (item.m_exclusive) {
          queue.m_unsent.push_front(std::move(item));
        } else {
          queue.m_unsent.push_back(std::move(item));
        }
        ++taken;
      }
    }
  } catch (const json::exception& error) {
    Log(Severity::kWarning, LogPart::kBatch,
        "Dropped a malformed reply to batch.take.", {{"error", error.what()}});
  }
  if (taken == 0) {
    queue.m_empty_until[job.m_id] = MonotonicNow() + kEmptyTakeBackoff;
    m_wake = false;
  }
  if (m_stopping) {
    ReturnUnsent(queue);
  }
}

void Dispatcher::ExecuteRun(uint64_t run,
                            std::shared_ptr<PickedUpstream> picked) {
  const std::string upstream = picked->m_name;
  const std::string url = picked->m_url;
  const AssignedItem* item = nullptr;
  const CancelToken* cancel = nullptr;
  {
    absl::MutexLock lock(&m_mutex);
    const ActiveRun& running =
        m_upstream_queues.at(upstream)->m_running.at(run);
    // Only this thread erases the entry, and map entries do not move.
    item = &running.m_item;
    cancel = running.m_cancel.get();
  }
  ItemRunResult result =
      RunItem(m_http, url, *item, *cancel, m_options.m_item_timeout);
  // From here on the item is not counted as in flight.
  picked.reset();
  result.m_outcome.m_index = item->m_index;
  result.m_outcome.m_dispatcher_id = m_dispatcher_id;
  const std::string job = item->m_job;
  const std::string owner = item->m_owner;
  absl::MutexLock lock(&m_mutex);
  UpstreamQueue& queue = *m_upstream_queues.at(upstream);
  if (result.m_pause_upstream) {
    queue.m_paused_until = MonotonicNow() + kPauseAfterFailure;
  }
  queue.m_exclusive_running = queue.m_exclusive_running && !item->m_exclusive;
  --m_held_by_workspace[item->m_workspace];
  m_outbox.Add(job, owner, std::move(result.m_outcome));
  queue.m_running.erase(run);
  --m_running_total;
  m_wake = true;
}

void Dispatcher::Preempt(const std::string& upstream,
                         const std::string& from,
                         int64_t online) {
  const std::shared_ptr<const ConfigSnapshot> config = m_context.m_config.Get();
  const UpstreamSpec* spec = config->FindUpstream(upstream);
  absl::MutexLock lock(&m_mutex);
  const auto found = m_upstream_queues.find(upstream);
  if (spec == nullptr || found == m_upstream_queues.end()) {
    return;
  }
  UpstreamQueue& queue = *found->second;
  if (from != m_context.m_membership.Self().m_id) {
    m_access.m_record_peer_online(upstream, from, online);
  }
  const int64_t capacity =
      ComputeCapacity(*spec, m_access.m_load(*spec), queue);
  if (capacity < 0) {
    PreemptExcess(upstream, queue, -capacity);
  }
}

void Dispatcher::ReportOnlineAtCapacity(std::string_view upstream) {
  absl::MutexLock lock(&m_mutex);
  m_preemptions_due.insert(std::string(upstream));
}

void Dispatcher::SendPreemptions() {
  while (true) {
    std::set<std::string, std::less<>> due;
    {
      absl::MutexLock lock(&m_mutex);
      const auto wake = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        return m_stopping || !m_preemptions_due.empty();
      };
      m_mutex.Await(absl::Condition(&wake));
      if (m_stopping) {
        return;
      }
      due.swap(m_preemptions_due);
    }
    const std::shared_ptr<const ConfigSnapshot> config =
        m_context.m_config.Get();
    for (const std::string& name : due) {
      const UpstreamSpec* spec = config->FindUpstream(name);
      if (spec == nullptr) {
        continue;
      }
      const std::string self = m_context.m_membership.Self().m_id;
      const std::string target =
          FirstMember(absl::StrCat("upstream:", name),
                      NonDrainingMembers(m_context.m_membership));
      const json message = {{"upstream", name},
                            {"from", self},
                            {"online", m_access.m_load(*spec).m_own_online}};
      if (target == self) {
        Preempt(name, self, 0);
        continue;
      }
      // Called from the pool, so that an unresponsive VM does not delay
      // preemption on other upstreams.
      m_call_pool.Submit([this, target, message] {
        const Result<json> notified = m_context.m_call(
            target, "upstream.yield", message, kPreemptionTimeout);
        if (!notified) {
          LogError(Severity::kWarning, LogPart::kBatch,
                   "Cannot ask a dispatcher to preempt batch items.",
                   notified.error());
        }
      });
    }
  }
}

}  // namespace bronzecross
