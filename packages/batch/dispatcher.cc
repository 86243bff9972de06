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
constexpr size_t kTakeThreads = 16;
// Shorter than the time after which an owner looks for an item handed out.
constexpr Millis kTakeTimeout{2500};
// An upstream that failed gets no batch items for this long.
constexpr Millis kPauseAfterFailure{500};
// A job without items is not asked again before then.
constexpr Millis kEmptyPause{50};
constexpr Millis kYieldTimeout{500};
// More unacknowledged results than this stop the taking of further items.
constexpr size_t kMaxUnacknowledged = 2000;
constexpr Millis kStopTimeout{3000};

std::string NeedOf(const UpstreamSpec& spec, const AnnouncedJob& job) {
  if (spec.m_kind == UpstreamKind::kService) {
    const std::string need = "s:" + spec.m_service;
    return job.m_open.contains(need) ? need : "";
  }
  for (const std::string& model : spec.m_models) {
    const std::string need = "m:" + model;
    if (job.m_open.contains(need)) {
      return need;
    }
  }
  return "";
}

std::vector<Member> MembersForNewWork(const Membership& membership) {
  std::vector<Member> members = membership.Live();
  std::erase_if(members,
                [](const Member& member) { return member.m_draining; });
  return members;
}

}  // namespace

// What this VM holds for one upstream.
struct Dispatcher::Lane {
  std::deque<TakenItem> m_unsent;
  std::map<uint64_t, Running> m_running;
  bool m_taking = false;
  // Whether a suspect waits to run here alone, and whether one does.
  bool m_draining = false;
  bool m_alone = false;
  Millis m_paused_until;
  std::map<std::string, Millis> m_empty_until;
};

Dispatcher::Dispatcher(JobContext& context,
                       OpenWork& open_work,
                       UpstreamAccess access,
                       HttpClient& http,
                       BatchOptions options)
    : m_context(context),
      m_open_work(open_work),
      m_access(std::move(access)),
      m_http(http),
      m_options(options),
      m_holder(HolderName(context.m_membership.Self().m_id,
                          context.m_membership.Self().m_incarnation)),
      m_outbox(context, open_work),
      m_takers(kTakeThreads),
      m_runners(static_cast<size_t>(options.m_max_running)) {}

Dispatcher::~Dispatcher() {
  Stop();
}

void Dispatcher::Start() {
  m_thread = std::thread([this] { Run(); });
  m_yield_thread = std::thread([this] { SendYields(); });
}

void Dispatcher::Stop() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
    for (const auto& [name, lane] : m_lanes) {
      ReturnUnsent(*lane);
      for (auto& [run, running] : lane->m_running) {
        if (running.m_item.m_idempotent) {
          running.m_cancel->Cancel();
        }
      }
    }
  }
  if (m_thread.joinable()) {
    m_thread.join();
    m_yield_thread.join();
  }
  const Millis deadline = MonotonicNow() + kStopTimeout;
  const auto idle = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    return m_running_total == 0;
  };
  {
    absl::MutexLock lock(&m_mutex);
    m_mutex.AwaitWithTimeout(absl::Condition(&idle),
                             absl::Milliseconds(kStopTimeout.count()));
    for (const auto& [name, lane] : m_lanes) {
      for (auto& [run, running] : lane->m_running) {
        running.m_cancel->Cancel();
      }
    }
  }
  m_outbox.Drain(deadline - MonotonicNow());
}

bool Dispatcher::DispatchesFor(std::string_view upstream) const {
  return FirstMember(absl::StrCat("upstream:", std::string(upstream)),
                     MembersForNewWork(m_context.m_membership)) ==
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
    const std::vector<AnnouncedJob> jobs = m_open_work.Jobs(MonotonicNow());
    StopCancelledJobs(jobs);
    const std::shared_ptr<const ConfigSnapshot> config =
        m_context.m_config.Get();
    for (const UpstreamSpec& spec : config->GetManifest().m_upstreams) {
      Manage(spec, jobs);
    }
    m_outbox.Pump();
  }
}

void Dispatcher::StopCancelledJobs(const std::vector<AnnouncedJob>& jobs) {
  for (const AnnouncedJob& job : jobs) {
    if (job.m_stopping) {
      CancelJob(job.m_id);
    }
  }
}

void Dispatcher::CancelJob(const std::string& job) {
  absl::MutexLock lock(&m_mutex);
  for (const auto& [name, lane] : m_lanes) {
    std::erase_if(lane->m_unsent, [&](const TakenItem& item)
                                      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                                        if (item.m_job != job) {
                                          return false;
                                        }
                                        --m_held_by_workspace[item.m_workspace];
                                        return true;
                                      });
    for (auto& [run, running] : lane->m_running) {
      if (running.m_item.m_job == job) {
        running.m_cancelled = true;
        running.m_cancel->Cancel();
      }
    }
  }
}

std::vector<uint64_t> Dispatcher::Held(const std::string& job) const {
  std::vector<uint64_t> indexes;
  {
    absl::MutexLock lock(&m_mutex);
    for (const auto& [name, lane] : m_lanes) {
      for (const TakenItem& item : lane->m_unsent) {
        if (item.m_job == job) {
          indexes.push_back(item.m_index);
        }
      }
      for (const auto& [run, running] : lane->m_running) {
        if (running.m_item.m_job == job) {
          indexes.push_back(running.m_item.m_index);
        }
      }
    }
  }
  // After the lanes: an item moves from a lane to the outbox, never back.
  for (const uint64_t index : m_outbox.Indexes(job)) {
    indexes.push_back(index);
  }
  return indexes;
}

int64_t Dispatcher::RoomOf(const UpstreamSpec& spec,
                           const BatchLoad& load,
                           Lane& lane) {
  RoomView view;
  view.m_slots = spec.m_slots;
  view.m_fill_target = m_options.m_fill_target;
  view.m_reserve =
      spec.m_kind == UpstreamKind::kEngine ? m_options.m_reserve_slots : 0;
  view.m_online = load.m_own_online + load.m_peers_online;
  view.m_peers_batch = load.m_peers_batch;
  view.m_hidden = load.m_hidden;
  view.m_own_batch = std::count_if(
      lane.m_running.begin(), lane.m_running.end(),
      [](const auto& entry) { return !entry.second.m_cancelled; });
  return BatchRoom(view);
}

void Dispatcher::Manage(const UpstreamSpec& spec,
                        const std::vector<AnnouncedJob>& jobs) {
  const bool dispatches = DispatchesFor(spec.m_name);
  const Millis now = MonotonicNow();
  absl::MutexLock lock(&m_mutex);
  std::unique_ptr<Lane>& lane = m_lanes[spec.m_name];
  if (lane == nullptr) {
    lane = std::make_unique<Lane>();
  }
  const BatchLoad load = m_access.m_load(spec);
  const int64_t room = RoomOf(spec, load, *lane);
  if (room < 0) {
    CancelExcess(spec.m_name, *lane, -room);
  }
  if (!dispatches || !load.m_usable) {
    ReturnUnsent(*lane);
    return;
  }
  if (now < lane->m_paused_until || m_stopping) {
    return;
  }
  if (room > 0) {
    StartItems(spec, *lane, room);
  }
  TakeMore(spec, *lane, RoomOf(spec, load, *lane), jobs);
}

void Dispatcher::CancelExcess(const std::string& name,
                              Lane& lane,
                              int64_t excess) {
  std::vector<RunningItem> items;
  for (const auto& [run, running] : lane.m_running) {
    if (!running.m_cancelled && running.m_item.m_idempotent) {
      items.push_back({run, running.m_started});
    }
  }
  const std::vector<uint64_t> chosen = ItemsToCancel(items, excess);
  for (const uint64_t run : chosen) {
    Running& running = lane.m_running.at(run);
    running.m_cancelled = true;
    running.m_cancel->Cancel();
  }
  if (!chosen.empty()) {
    CountMetric("bronzecross_batch_yields_total", {},
                static_cast<double>(chosen.size()));
    Log(Severity::kInfo, LogPart::kBatch, "Batch items give way.",
        {{"upstream", name}, {"items", chosen.size()}, {"excess", excess}});
  }
}

void Dispatcher::ReturnUnsent(Lane& lane) {
  while (!lane.m_unsent.empty()) {
    const TakenItem& item = lane.m_unsent.front();
    ItemOutcome outcome;
    outcome.m_index = item.m_index;
    outcome.m_kind = OutcomeKind::kNotRun;
    outcome.m_holder = m_holder;
    m_outbox.Add(item.m_job, item.m_owner, std::move(outcome));
    --m_held_by_workspace[item.m_workspace];
    lane.m_unsent.pop_front();
  }
}

void Dispatcher::StartItems(const UpstreamSpec& spec,
                            Lane& lane,
                            int64_t room) {
  while (room > 0 && !lane.m_unsent.empty() && !lane.m_alone &&
         m_running_total < m_options.m_max_running) {
    const bool alone = lane.m_unsent.front().m_alone;
    if (lane.m_draining && !alone) {
      return;
    }
    if (alone && !lane.m_running.empty()) {
      return;
    }
    Result<PickedUpstream> picked =
        m_access.m_pick(spec, lane.m_unsent.front().m_job);
    if (!picked) {
      lane.m_paused_until = MonotonicNow() + kPauseAfterFailure;
      return;
    }
    const uint64_t run = ++m_last_run;
    Running& running = lane.m_running[run];
    running.m_item = std::move(lane.m_unsent.front());
    running.m_started = MonotonicNow();
    lane.m_unsent.pop_front();
    lane.m_alone = alone;
    lane.m_draining = lane.m_draining && !alone;
    ++m_running_total;
    --room;
    const std::shared_ptr<PickedUpstream> in_flight =
        std::make_shared<PickedUpstream>(std::move(*picked));
    m_runners.Submit([this, run, in_flight] { RunOne(run, in_flight); });
  }
}

void Dispatcher::TakeMore(const UpstreamSpec& spec,
                          Lane& lane,
                          int64_t room,
                          const std::vector<AnnouncedJob>& jobs) {
  // Some items wait here unsent, so that one that ends is replaced at once.
  const int64_t ahead = std::max<int64_t>(1, spec.m_slots / 4);
  const int64_t want = std::max<int64_t>(0, room) + ahead -
                       static_cast<int64_t>(lane.m_unsent.size());
  const bool idle = lane.m_running.empty();
  if (lane.m_taking || lane.m_alone || want <= 0 ||
      (lane.m_draining ? !idle : room <= 0) ||
      m_outbox.Size() > kMaxUnacknowledged) {
    return;
  }
  const Millis now = MonotonicNow();
  std::vector<JobOffer> offers;
  for (const AnnouncedJob& job : jobs) {
    const std::string need = NeedOf(spec, job);
    const auto empty = lane.m_empty_until.find(job.m_id);
    const bool asked_in_vain =
        empty != lane.m_empty_until.end() && now < empty->second;
    offers.push_back({job.m_id, job.m_workspace, job.m_deadline,
                      need.empty() || asked_in_vain || job.m_stopping
                          ? 0
                          : job.m_open.at(need),
                      m_held_by_workspace[job.m_workspace]});
  }
  const std::optional<size_t> chosen = ChooseNextJob(offers);
  if (!chosen) {
    lane.m_draining = false;
    return;
  }
  const AnnouncedJob& job = jobs[*chosen];
  lane.m_taking = true;
  const json request = {{"job", job.m_id},
                        {"need", NeedOf(spec, job)},
                        {"max", want},
                        {"holder", m_holder},
                        {"upstream", spec.m_name},
                        {"idle", idle && lane.m_draining}};
  m_takers.Submit(
      [this, name = spec.m_name, job, request] { Take(name, job, request); });
}

void Dispatcher::Take(const std::string& upstream,
                      const AnnouncedJob& job,
                      const json& request) {
  const Result<json> answer =
      m_context.m_call(job.m_owner, "batch.take", request, kTakeTimeout);
  absl::MutexLock lock(&m_mutex);
  Lane& lane = *m_lanes.at(upstream);
  lane.m_taking = false;
  m_wake = true;
  size_t taken = 0;
  try {
    if (answer) {
      lane.m_draining = answer->at("drain").get<bool>();
      for (const json& message : answer->at("items")) {
        TakenItem item = TakenItemFromJson(message);
        item.m_job = job.m_id;
        item.m_owner = job.m_owner;
        item.m_workspace = job.m_workspace;
        ++m_held_by_workspace[item.m_workspace];
        // A suspect goes before the items that wait for it to end.
        if (item.m_alone) {
          lane.m_unsent.push_front(std::move(item));
        } else {
          lane.m_unsent.push_back(std::move(item));
        }
        ++taken;
      }
    }
  } catch (const json::exception& error) {
    Log(Severity::kWarning, LogPart::kBatch, "Dropped a damaged answer.",
        {{"error", error.what()}});
  }
  if (taken == 0) {
    lane.m_empty_until[job.m_id] = MonotonicNow() + kEmptyPause;
    m_wake = false;
  }
  if (m_stopping) {
    ReturnUnsent(lane);
  }
}

void Dispatcher::RunOne(uint64_t run, std::shared_ptr<PickedUpstream> picked) {
  const std::string upstream = picked->m_name;
  const std::string url = picked->m_url;
  const TakenItem* item = nullptr;
  const CancelToken* cancel = nullptr;
  {
    absl::MutexLock lock(&m_mutex);
    const Running& running = m_lanes.at(upstream)->m_running.at(run);
    // Only this thread erases the entry, and map entries do not move.
    item = &running.m_item;
    cancel = running.m_cancel.get();
  }
  ItemRunResult result =
      RunItem(m_http, url, *item, *cancel, m_options.m_item_timeout);
  // From here on the item is not counted as in flight.
  picked.reset();
  result.m_outcome.m_index = item->m_index;
  result.m_outcome.m_holder = m_holder;
  const std::string job = item->m_job;
  const std::string owner = item->m_owner;
  absl::MutexLock lock(&m_mutex);
  Lane& lane = *m_lanes.at(upstream);
  if (result.m_upstream_failed) {
    lane.m_paused_until = MonotonicNow() + kPauseAfterFailure;
  }
  lane.m_alone = lane.m_alone && !item->m_alone;
  --m_held_by_workspace[item->m_workspace];
  m_outbox.Add(job, owner, std::move(result.m_outcome));
  lane.m_running.erase(run);
  --m_running_total;
  m_wake = true;
}

void Dispatcher::Yield(const std::string& upstream,
                       const std::string& from,
                       int64_t online) {
  const std::shared_ptr<const ConfigSnapshot> config = m_context.m_config.Get();
  const UpstreamSpec* spec = config->FindUpstream(upstream);
  absl::MutexLock lock(&m_mutex);
  const auto found = m_lanes.find(upstream);
  if (spec == nullptr || found == m_lanes.end()) {
    return;
  }
  Lane& lane = *found->second;
  if (from != m_context.m_membership.Self().m_id) {
    m_access.m_note_online(upstream, from, online);
  }
  const int64_t room = RoomOf(*spec, m_access.m_load(*spec), lane);
  if (room < 0) {
    CancelExcess(upstream, lane, -room);
  }
}

void Dispatcher::TellOnlineAtBound(std::string_view upstream) {
  absl::MutexLock lock(&m_mutex);
  m_yields_due.insert(std::string(upstream));
}

void Dispatcher::SendYields() {
  while (true) {
    std::set<std::string, std::less<>> due;
    {
      absl::MutexLock lock(&m_mutex);
      const auto wake = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        return m_stopping || !m_yields_due.empty();
      };
      m_mutex.Await(absl::Condition(&wake));
      if (m_stopping) {
        return;
      }
      due.swap(m_yields_due);
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
                      MembersForNewWork(m_context.m_membership));
      const json message = {{"upstream", name},
                            {"from", self},
                            {"online", m_access.m_load(*spec).m_own_online}};
      if (target == self) {
        Yield(name, self, 0);
        continue;
      }
      // Other upstreams' yields must not wait for a VM that does not answer.
      m_takers.Submit([this, target, message] {
        const Result<json> told =
            m_context.m_call(target, "upstream.yield", message, kYieldTimeout);
        if (!told) {
          LogError(Severity::kWarning, LogPart::kBatch,
                   "Cannot tell a dispatcher to yield.", told.error());
        }
      });
    }
  }
}

}  // namespace bronzecross
