#include "upstreams/upstream_registry.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "base/log.h"
#include "base/random.h"

namespace bronzecross {
namespace {

using nlohmann::json;

// Before anything is learned, an upstream of declared speed 1 is taken to need
// this long.
constexpr double kDefaultServiceMs = 500;
// A learned time is gradually forgotten, so that an upstream that gets no work
// for its slowness is tried again.
constexpr double kForgetSeconds = 30;
// An upstream without answers for this long is tried whatever it reports.
constexpr Millis kUntriedAfter{2000};
// Heartbeats carry a reservation to all VMs within this time.
constexpr Millis kReservationNotice{250};
constexpr Millis kReservationPoll{10};
constexpr size_t kMaxSentPrefixes = 16;
// The manifest's default of one slot is meant for engines. A plain service
// without declared slots must not be served one request at a time.
constexpr int64_t kServiceSlots = 64;

bool Contains(std::span<const std::string> names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool Serves(const UpstreamSpec& spec, const UpstreamNeed& need) {
  if (!need.m_service.empty()) {
    return spec.m_kind == UpstreamKind::kService &&
           spec.m_service == need.m_service;
  }
  return spec.m_kind == UpstreamKind::kEngine &&
         Contains(spec.m_models, need.m_model);
}

int64_t SlotsOf(const UpstreamSpec& spec) {
  return spec.m_kind == UpstreamKind::kService && spec.m_slots <= 1
             ? kServiceSlots
             : spec.m_slots;
}

double UnitHash(std::string_view text, uint64_t seed) {
  return static_cast<double>(Hash64(text, seed) >> 11) * 0x1p-53;
}

// The learned service time, pulled towards the declared speed as it ages.
double ServiceMs(const UpstreamSpec& spec,
                 const UpstreamRecord& record,
                 double unit_ms,
                 Millis now) {
  const ServiceTime shared = SharedServiceTime(record);
  const double declared = unit_ms / spec.m_speed;
  if (shared.m_responses == 0) {
    return declared;
  }
  const Millis last = std::max(shared.m_last_response, record.m_active_at);
  const double kept = std::exp(-(now - last).Seconds() / kForgetSeconds);
  return kept * shared.m_mean_ms + (1 - kept) * declared;
}

std::string Wanted(const UpstreamNeed& need) {
  return std::string(need.m_service.empty() ? need.m_model : need.m_service);
}

}  // namespace

// The upstreams that may take a request now. `m_busy` tells whether others
// could later.
struct UpstreamRegistry::Candidates {
  std::vector<const UpstreamSpec*> m_specs;
  std::vector<UpstreamView> m_views;
  bool m_busy = false;
};

UpstreamRegistry::UpstreamRegistry(ConfigHolder& config,
                                   Membership& membership,
                                   HttpClient& http,
                                   std::vector<std::string> halves)
    : m_config(config),
      m_membership(membership),
      m_halves(std::move(halves)),
      m_poller(config,
               membership,
               http,
               [this](const std::string& name,
                      const Result<LoadReport>& report,
                      Millis sent) { TakeReport(name, report, sent); }) {
  m_membership.AddSection(
      "upstreams",
      {[this] {
         const std::vector<std::string> leaving =
             m_membership.LeavingUpstreams();
         absl::MutexLock lock(&m_mutex);
         return MakeUpstreamSection(m_records, leaving, MonotonicNow());
       },
       [this](const std::string& from, const json& section) {
         {
           absl::MutexLock lock(&m_mutex);
           TakeUpstreamSection(m_records, from, section, MonotonicNow());
         }
         m_changes->Notify();
       }});
}

UpstreamRegistry::~UpstreamRegistry() {
  Stop();
}

void UpstreamRegistry::Start() {
  m_poller.Start();
}

void UpstreamRegistry::Stop() {
  m_poller.Stop();
}

UpstreamRecord& UpstreamRegistry::FindOrAdd(std::string_view name) {
  const auto found = m_records.find(name);
  if (found != m_records.end()) {
    // Records that a heartbeat made have no signal yet. It is set once, as
    // requests in flight read it without the mutex.
    if (found->second.m_counts->m_signal == nullptr) {
      found->second.m_counts->m_signal = m_changes;
    }
    return found->second;
  }
  UpstreamRecord& record =
      m_records.try_emplace(std::string(name)).first->second;
  record.m_counts->m_signal = m_changes;
  return record;
}

bool UpstreamRegistry::IsOurs(const UpstreamSpec& spec) const {
  return m_halves.empty() || spec.m_half.empty() ||
         Contains(m_halves, spec.m_half);
}

bool UpstreamRegistry::IsDown(const UpstreamSpec& spec,
                              const UpstreamRecord& record,
                              std::span<const std::string> leaving,
                              Millis now) const {
  return spec.m_state == UpstreamState::kLeaving ||
         Contains(leaving, spec.m_name) || IsLeavingForPeer(record, now) ||
         (m_blocked && m_blocked(spec.m_name)) ||
         !AllowsRequest(record.m_breaker, now) ||
         (!IsOpen(record.m_breaker) && IsTrippedByPeer(record, now));
}

UpstreamView UpstreamRegistry::MakeView(const UpstreamSpec& spec,
                                        const UpstreamRecord& record,
                                        const UpstreamNeed& need,
                                        Millis now) const {
  const PeerTotals peers = SumPeers(record, now);
  const ServiceTime shared = SharedServiceTime(record);
  UpstreamView view;
  view.m_name = spec.m_name;
  view.m_own_in_flight = record.m_counts->m_online + record.m_counts->m_batch;
  view.m_peers_in_flight = peers.m_online + peers.m_batch;
  view.m_online_in_flight = record.m_counts->m_online + peers.m_online;
  view.m_slots = SlotsOf(spec);
  const bool untried =
      view.m_own_in_flight + view.m_peers_in_flight == 0 &&
      now - std::max(record.m_active_at, shared.m_last_response) >
          kUntriedAfter;
  view.m_external_load = untried ? 0 : ExternalLoad(record.m_reported, now);
  view.m_responses = shared.m_responses;
  view.m_same_zone =
      spec.m_availability_zone == m_membership.Self().m_availability_zone;
  view.m_prefix_match = PrefixMatch(record.m_prefixes, need.m_prefixes, now);
  view.m_probe_due = IsProbeDue(record, now);
  view.m_preference = UnitHash(spec.m_name, Hash64(m_membership.Self().m_id));
  return view;
}

UpstreamRegistry::Candidates UpstreamRegistry::Collect(
    const UpstreamNeed& need,
    const ConfigSnapshot& config,
    Millis now) {
  const std::vector<std::string> leaving = m_membership.LeavingUpstreams();
  Candidates candidates;
  std::vector<const UpstreamRecord*> records;
  double unit_sum = 0;
  int unit_count = 0;
  for (const UpstreamSpec& spec : config.GetManifest().m_upstreams) {
    if (!Serves(spec, need) || !IsOurs(spec) ||
        Contains(need.m_avoid, spec.m_name)) {
      continue;
    }
    const UpstreamRecord& record = FindOrAdd(spec.m_name);
    const auto refused = record.m_refused_models.find(need.m_model);
    if (IsDown(spec, record, leaving, now) ||
        (refused != record.m_refused_models.end() && refused->second > now)) {
      continue;
    }
    if (record.m_quiet_until > now || IsReserved(record, now)) {
      candidates.m_busy = true;
      continue;
    }
    const ServiceTime shared = SharedServiceTime(record);
    if (shared.m_responses > 0) {
      unit_sum += shared.m_mean_ms * spec.m_speed;
      ++unit_count;
    }
    candidates.m_specs.push_back(&spec);
    candidates.m_views.push_back(MakeView(spec, record, need, now));
    records.push_back(&record);
  }
  const double unit_ms =
      unit_count > 0 ? unit_sum / unit_count : kDefaultServiceMs;
  double best_home = -1;
  UpstreamView* home = nullptr;
  bool any_match = false;
  for (size_t i = 0; i < records.size(); ++i) {
    UpstreamView& view = candidates.m_views[i];
    view.m_service_ms =
        ServiceMs(*candidates.m_specs[i], *records[i], unit_ms, now);
    any_match = any_match || view.m_prefix_match > 0;
    if (!need.m_prefixes.empty()) {
      const double score = UnitHash(view.m_name, need.m_prefixes.front());
      if (score > best_home) {
        best_home = score;
        home = &view;
      }
    }
  }
  if (home != nullptr && !any_match) {
    home->m_is_prefix_owner = true;
  }
  return candidates;
}

PickedUpstream UpstreamRegistry::Take(const UpstreamSpec& spec,
                                      const UpstreamNeed& need,
                                      Millis now) {
  UpstreamRecord& record = FindOrAdd(spec.m_name);
  const PeerTotals peers = SumPeers(record, now);
  const int64_t before = record.m_counts->m_online + record.m_counts->m_batch +
                         peers.m_online + peers.m_batch;
  RecordSent(record.m_breaker, now);
  record.m_active_at = now;
  for (const uint64_t hash : need.m_prefixes) {
    RecordPrefix(record.m_prefixes, hash, now);
    record.m_sent_prefixes.emplace_back(now, hash);
    if (record.m_sent_prefixes.size() > kMaxSentPrefixes) {
      record.m_sent_prefixes.pop_front();
    }
  }
  PickedUpstream picked;
  picked.m_name = spec.m_name;
  picked.m_url = spec.m_url;
  picked.m_in_flight = InFlight(record.m_counts, need.m_priority);
  picked.m_kind = spec.m_kind;
  picked.m_slots = SlotsOf(spec);
  picked.m_load =
      static_cast<double>(before) + ExternalLoad(record.m_reported, now);
  picked.m_picked_at = now;
  picked.m_send_number = record.m_counts->m_sent;
  picked.m_alone = before == 0;
  return picked;
}

Result<PickedUpstream> UpstreamRegistry::Pick(const UpstreamNeed& need,
                                              std::string_view request_id) {
  const std::shared_ptr<const ConfigSnapshot> config = m_config.Get();
  const Millis now = MonotonicNow();
  PickedUpstream picked;
  UpstreamView view;
  size_t count = 0;
  double cost = 0;
  {
    absl::MutexLock lock(&m_mutex);
    const Candidates candidates = Collect(need, *config, now);
    const std::optional<RouteDecision> decision =
        ChooseUpstream(candidates.m_views, ThreadRandom());
    if (!decision) {
      return candidates.m_busy || !candidates.m_views.empty()
                 ? Fail(ResultCode::kOverloaded,
                        absl::StrCat("all upstreams of ", Wanted(need),
                                     " are full"))
                 : Fail(ResultCode::kNoUpstream,
                        absl::StrCat("no upstream can serve ", Wanted(need),
                                     " now"));
    }
    view = candidates.m_views[decision->m_index];
    count = candidates.m_views.size();
    cost = decision->m_cost;
    picked = Take(*candidates.m_specs[decision->m_index], need, now);
  }
  Log(Severity::kInfo, LogPart::kRouting, "Chose an upstream.",
      {{"request", request_id},
       {"upstream", picked.m_name},
       {"candidates", count},
       {"cost_ms", cost},
       {"own", view.m_own_in_flight},
       {"peers", view.m_peers_in_flight},
       {"other", view.m_external_load},
       {"service_ms", view.m_service_ms},
       {"prefix", view.m_prefix_match}});
  if (need.m_priority == Priority::kOnline && m_online_at_bound &&
      picked.m_load + 1 >= static_cast<double>(picked.m_slots)) {
    m_online_at_bound(picked.m_name);
  }
  return picked;
}

Result<PickedUpstream> UpstreamRegistry::PickNamed(
    std::string_view name,
    Priority priority,
    std::string_view request_id) {
  const std::shared_ptr<const ConfigSnapshot> config = m_config.Get();
  const std::vector<std::string> leaving = m_membership.LeavingUpstreams();
  const Millis now = MonotonicNow();
  const std::vector<UpstreamSpec>& specs = config->GetManifest().m_upstreams;
  const auto spec = std::find_if(
      specs.begin(), specs.end(),
      [name](const UpstreamSpec& one) { return one.m_name == name; });
  absl::MutexLock lock(&m_mutex);
  if (spec == specs.end() || !IsOurs(*spec)) {
    return Fail(ResultCode::kNoUpstream,
                absl::StrCat("there is no upstream ", std::string(name)));
  }
  const UpstreamRecord& record = FindOrAdd(name);
  if (IsDown(*spec, record, leaving, now) || record.m_quiet_until > now ||
      IsReserved(record, now)) {
    return Fail(ResultCode::kNoUpstream,
                absl::StrCat("upstream ", std::string(name), " is not usable"));
  }
  UpstreamNeed need;
  need.m_priority = priority;
  PickedUpstream picked = Take(*spec, need, now);
  Log(Severity::kDebug, LogPart::kRouting, "Took a named upstream.",
      {{"request", request_id}, {"upstream", name}, {"load", picked.m_load}});
  return picked;
}

std::string UpstreamRegistry::Reserve(const UpstreamNeed& need) {
  const std::shared_ptr<const ConfigSnapshot> config = m_config.Get();
  absl::MutexLock lock(&m_mutex);
  const Candidates candidates = Collect(need, *config, MonotonicNow());
  const auto least =
      std::min_element(candidates.m_views.begin(), candidates.m_views.end(),
                       [](const UpstreamView& one, const UpstreamView& other) {
                         return one.m_own_in_flight + one.m_peers_in_flight <
                                other.m_own_in_flight + other.m_peers_in_flight;
                       });
  if (least == candidates.m_views.end()) {
    return "";
  }
  FindOrAdd(least->m_name).m_reserved = true;
  return std::string(least->m_name);
}

void UpstreamRegistry::EndReservation(std::string_view name) {
  {
    absl::MutexLock lock(&m_mutex);
    UpstreamRecord& record = FindOrAdd(name);
    record.m_reserved = false;
    record.m_active_at = MonotonicNow();
  }
  m_changes->Notify();
}

bool UpstreamRegistry::HoldsReservation(std::string_view name) {
  absl::MutexLock lock(&m_mutex);
  const UpstreamRecord& record = FindOrAdd(name);
  // Of two VMs that reserve the same upstream, the one with the lower id holds.
  return std::none_of(record.m_peers.begin(), record.m_peers.end(),
                      [this](const auto& entry) {
                        return entry.second.m_reserved &&
                               entry.first < m_membership.Self().m_id;
                      });
}

bool UpstreamRegistry::IsIdle(std::string_view name) {
  absl::MutexLock lock(&m_mutex);
  const UpstreamRecord& record = FindOrAdd(name);
  const PeerTotals peers = SumPeers(record, MonotonicNow());
  return record.m_counts->m_online + record.m_counts->m_batch + peers.m_online +
             peers.m_batch ==
         0;
}

Result<PickedUpstream> UpstreamRegistry::PickAlone(const UpstreamNeed& need,
                                                   std::string_view request_id,
                                                   Millis deadline) {
  while (MonotonicNow() < deadline) {
    const std::string name = Reserve(need);
    if (name.empty()) {
      SleepFor(kReservationPoll);
      continue;
    }
    std::shared_ptr<void> reservation(
        nullptr, [this, name](void*) { EndReservation(name); });
    const Millis reserved_at = MonotonicNow();
    bool holds = true;
    while (
        holds && MonotonicNow() < deadline &&
        (MonotonicNow() - reserved_at < kReservationNotice || !IsIdle(name))) {
      SleepFor(kReservationPoll);
      holds = HoldsReservation(name);
    }
    if (!holds || MonotonicNow() >= deadline) {
      continue;
    }
    const std::shared_ptr<const ConfigSnapshot> config = m_config.Get();
    const std::vector<UpstreamSpec>& specs = config->GetManifest().m_upstreams;
    const auto spec = std::find_if(
        specs.begin(), specs.end(),
        [&name](const UpstreamSpec& one) { return one.m_name == name; });
    if (spec == specs.end()) {
      continue;
    }
    absl::MutexLock lock(&m_mutex);
    PickedUpstream picked = Take(*spec, need, MonotonicNow());
    picked.m_reservation = std::move(reservation);
    Log(Severity::kInfo, LogPart::kRouting, "Reserved an upstream.",
        {{"request", request_id},
         {"upstream", name},
         {"waited_ms", MonotonicNow() - reserved_at}});
    return picked;
  }
  return Fail(ResultCode::kOverloaded,
              "no upstream got free for a request that must run alone");
}

void UpstreamRegistry::ReportOutcome(std::string_view name, bool failed) {
  const Millis now = MonotonicNow();
  Millis open_for;
  {
    absl::MutexLock lock(&m_mutex);
    UpstreamRecord& record = FindOrAdd(name);
    record.m_active_at = now;
    const bool was_probe = IsOpenAtPeer(record, now);
    const bool opened = RecordOutcome(record.m_breaker, failed, now);
    if (!opened && failed && was_probe && !IsOpen(record.m_breaker)) {
      OpenBreaker(record.m_breaker, now);
    } else if (!opened) {
      return;
    }
    open_for = record.m_breaker.m_open_duration;
  }
  Log(Severity::kWarning, LogPart::kUpstreams, "Tripped an upstream.",
      {{"upstream", name}, {"for_ms", open_for}});
}

void UpstreamRegistry::ReportDeath(std::string_view name) {
  {
    absl::MutexLock lock(&m_mutex);
    OpenBreaker(FindOrAdd(name).m_breaker, MonotonicNow());
  }
  Log(Severity::kWarning, LogPart::kUpstreams, "Found an upstream dead.",
      {{"upstream", name}});
}

void UpstreamRegistry::ReportAnswer(const PickedUpstream& picked) {
  const Millis now = MonotonicNow();
  const Millis took = now - picked.m_picked_at;
  absl::MutexLock lock(&m_mutex);
  UpstreamRecord& record = FindOrAdd(picked.m_name);
  RecordOutcome(record.m_breaker, false, now);
  RecordResponseTime(record.m_reported, static_cast<double>(took.count()),
                     record.m_service.m_mean_ms, picked.m_slots);
  RecordResponse(record.m_service, took, picked.m_load, picked.m_slots, now);
  record.m_active_at = now;
}

void UpstreamRegistry::KeepQuiet(std::string_view name, Millis until) {
  absl::MutexLock lock(&m_mutex);
  UpstreamRecord& record = FindOrAdd(name);
  record.m_quiet_until = std::max(record.m_quiet_until, until);
}

void UpstreamRegistry::RefuseModel(std::string_view name,
                                   std::string_view model,
                                   Millis until) {
  absl::MutexLock lock(&m_mutex);
  FindOrAdd(name).m_refused_models.insert_or_assign(std::string(model), until);
}

bool UpstreamRegistry::RanAlone(const PickedUpstream& picked) {
  absl::MutexLock lock(&m_mutex);
  const UpstreamRecord& record = FindOrAdd(picked.m_name);
  const PeerTotals peers = SumPeers(record, MonotonicNow());
  return picked.m_alone && record.m_counts->m_sent == picked.m_send_number &&
         peers.m_online + peers.m_batch == 0;
}

std::vector<UpstreamLoad> UpstreamRegistry::Loads(std::string_view model) {
  const std::shared_ptr<const ConfigSnapshot> config = m_config.Get();
  const std::vector<std::string> leaving = m_membership.LeavingUpstreams();
  const Millis now = MonotonicNow();
  const UpstreamNeed need{model, ""};
  std::vector<UpstreamLoad> loads;
  absl::MutexLock lock(&m_mutex);
  for (const UpstreamSpec& spec : config->GetManifest().m_upstreams) {
    if (!Serves(spec, need) || !IsOurs(spec)) {
      continue;
    }
    loads.push_back(MakeLoad(spec, leaving, now));
  }
  return loads;
}

UpstreamLoad UpstreamRegistry::LoadOf(const UpstreamSpec& spec) {
  const std::vector<std::string> leaving = m_membership.LeavingUpstreams();
  absl::MutexLock lock(&m_mutex);
  UpstreamLoad load = MakeLoad(spec, leaving, MonotonicNow());
  load.m_usable = load.m_usable && IsOurs(spec);
  return load;
}

void UpstreamRegistry::NotePeerOnline(std::string_view name,
                                      std::string_view from,
                                      int64_t online) {
  absl::MutexLock lock(&m_mutex);
  PeerRecord& peer = FindOrAdd(name).m_peers[std::string(from)];
  peer.m_told_at = MonotonicNow();
  peer.m_online = online;
}

UpstreamLoad UpstreamRegistry::MakeLoad(const UpstreamSpec& spec,
                                        std::span<const std::string> leaving,
                                        Millis now) {
  const UpstreamRecord& record = FindOrAdd(spec.m_name);
  const PeerTotals peers = SumPeers(record, now);
  UpstreamLoad load;
  load.m_name = spec.m_name;
  load.m_slots = SlotsOf(spec);
  load.m_own_online = record.m_counts->m_online;
  load.m_own_batch = record.m_counts->m_batch;
  load.m_peers_online = peers.m_online;
  load.m_peers_batch = peers.m_batch;
  load.m_other = ExternalLoad(record.m_reported, now);
  load.m_service_ms = SharedServiceTime(record).m_mean_ms;
  load.m_usable = !IsDown(spec, record, leaving, now) &&
                  record.m_quiet_until <= now && !IsReserved(record, now);
  return load;
}

void UpstreamRegistry::TakeReport(const std::string& name,
                                  const Result<LoadReport>& report,
                                  Millis sent) {
  if (!report) {
    LogError(Severity::kWarning, LogPart::kUpstreams, "Got no load report.",
             report.error());
    // A refused connection is a sign of death; a missing page is not.
    if (report.error().m_code != ResultCode::kMalformedBody) {
      ReportOutcome(name, true);
    }
    return;
  }
  absl::MutexLock lock(&m_mutex);
  UpstreamRecord& record = FindOrAdd(name);
  const PeerTotals peers = SumPeers(record, sent);
  record.m_last_report = report->m_running + report->m_waiting;
  record.m_polled_here = true;
  RecordReport(record.m_reported, record.m_last_report,
               record.m_counts->m_online + record.m_counts->m_batch +
                   peers.m_online + peers.m_batch,
               sent);
}

}  // namespace bronzecross
