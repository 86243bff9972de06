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

// Assumed service time of an upstream of declared speed 1 until one is learned.
constexpr double kDefaultServiceMs = 500;
// Time constant with which a learned service time decays to the declared one,
// so that an upstream that gets no requests because it was slow is tried again.
constexpr double kServiceTimeDecaySeconds = 30;
// The load report of an idle upstream is ignored if it has had no request and
// no response for this long.
constexpr Millis kIgnoreReportsAfter{2000};
// Time within which heartbeats carry a reservation to all VMs.
constexpr Millis kReservationPropagation{250};
constexpr Millis kReservationPollInterval{10};
constexpr size_t kMaxSentPrefixes = 16;
// Slots of a plain service that declares none. The manifest's default of one
// slot is meant for engines; with it a service would get one request at a time.
constexpr int64_t kDefaultServiceSlots = 64;

bool Contains(std::span<const std::string> names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool Serves(const UpstreamSpec& spec,
            const UpstreamRequirements& requirements) {
  if (!requirements.m_service.empty()) {
    return spec.m_kind == UpstreamKind::kService &&
           spec.m_service == requirements.m_service;
  }
  return spec.m_kind == UpstreamKind::kEngine &&
         Contains(spec.m_models, requirements.m_model);
}

int64_t SlotsOf(const UpstreamSpec& spec) {
  return spec.m_kind == UpstreamKind::kService && spec.m_slots <= 1
             ? kDefaultServiceSlots
             : spec.m_slots;
}

// Returns a hash of `text` in [0, 1).
double UnitHash(std::string_view text, uint64_t seed) {
  return static_cast<double>(Hash64(text, seed) >> 11) * 0x1p-53;
}

// Returns the learned service time, which decays with age to the one expected
// from the declared speed; `unit_ms` is the service time at speed 1.
double ServiceMs(const UpstreamSpec& spec,
                 const UpstreamRecord& record,
                 double unit_ms,
                 Millis now) {
  const ServiceTime combined = CombinedServiceTime(record);
  const double declared = unit_ms / spec.m_speed;
  if (combined.m_responses == 0) {
    return declared;
  }
  const Millis last = std::max(combined.m_last_response, record.m_active_at);
  const double weight =
      std::exp(-(now - last).Seconds() / kServiceTimeDecaySeconds);
  return weight * combined.m_mean_ms + (1 - weight) * declared;
}

std::string TargetName(const UpstreamRequirements& requirements) {
  return std::string(requirements.m_service.empty() ? requirements.m_model
                                                    : requirements.m_service);
}

}  // namespace

// The upstreams that may take a request now.
struct UpstreamRegistry::Candidates {
  std::vector<const UpstreamSpec*> m_specs;
  std::vector<UpstreamView> m_views;
  // Whether others were skipped that may take the request later, as they are
  // reserved or asked for no requests now.
  bool m_any_busy = false;
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
                      Millis sent) { RecordLoadReport(name, report, sent); }) {
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
           ApplyUpstreamSection(m_records, from, section, MonotonicNow());
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
    // Records created from a heartbeat have no signal yet. It is set only once,
    // because requests in flight read it without the mutex.
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

bool UpstreamRegistry::IsInServedHalf(const UpstreamSpec& spec) const {
  return m_halves.empty() || spec.m_half.empty() ||
         Contains(m_halves, spec.m_half);
}

bool UpstreamRegistry::IsUnavailable(const UpstreamSpec& spec,
                                     const UpstreamRecord& record,
                                     std::span<const std::string> leaving,
                                     Millis now) const {
  return spec.m_state == UpstreamState::kLeaving ||
         Contains(leaving, spec.m_name) || IsReportedLeaving(record, now) ||
         (m_is_blocked && m_is_blocked(spec.m_name)) ||
         !AllowsRequest(record.m_breaker, now) ||
         (!IsOpen(record.m_breaker) && IsTrippedByPeer(record, now));
}

UpstreamView UpstreamRegistry::MakeView(
    const UpstreamSpec& spec,
    const UpstreamRecord& record,
    const UpstreamRequirements& requirements,
    Millis now) const {
  const PeerTotals peers = SumPeers(record, now);
  const ServiceTime combined = CombinedServiceTime(record);
  UpstreamView view;
  view.m_name = spec.m_name;
  view.m_own_in_flight = record.m_counts->m_online + record.m_counts->m_batch;
  view.m_peers_in_flight = peers.m_online + peers.m_batch;
  view.m_online_in_flight = record.m_counts->m_online + peers.m_online;
  view.m_slots = SlotsOf(spec);
  const bool ignore_reports =
      view.m_own_in_flight + view.m_peers_in_flight == 0 &&
      now - std::max(record.m_active_at, combined.m_last_response) >
          kIgnoreReportsAfter;
  view.m_external_load =
      ignore_reports ? 0 : ExternalLoad(record.m_reported, now);
  view.m_responses = combined.m_responses;
  view.m_same_zone =
      spec.m_availability_zone == m_membership.Self().m_availability_zone;
  view.m_prefix_match =
      PrefixMatch(record.m_prefixes, requirements.m_prefixes, now);
  view.m_probe_due = IsProbeDue(record, now);
  view.m_preference = UnitHash(spec.m_name, Hash64(m_membership.Self().m_id));
  return view;
}

UpstreamRegistry::Candidates UpstreamRegistry::CollectCandidates(
    const UpstreamRequirements& requirements,
    const ConfigSnapshot& config,
    Millis now) {
  const std::vector<std::string> leaving = m_membership.LeavingUpstreams();
  Candidates candidates;
  std::vector<const UpstreamRecord*> records;
  double unit_sum = 0;
  int unit_count = 0;
  for (const UpstreamSpec& spec : config.GetManifest().m_upstreams) {
    if (!Serves(spec, requirements) || !IsInServedHalf(spec) ||
        Contains(requirements.m_excluded_upstreams, spec.m_name)) {
      continue;
    }
    const UpstreamRecord& record = FindOrAdd(spec.m_name);
    const auto rejected = record.m_rejected_models.find(requirements.m_model);
    if (IsUnavailable(spec, record, leaving, now) ||
        (rejected != record.m_rejected_models.end() &&
         rejected->second > now)) {
      continue;
    }
    if (record.m_backoff_until > now || IsReserved(record, now)) {
      candidates.m_any_busy = true;
      continue;
    }
    const ServiceTime combined = CombinedServiceTime(record);
    if (combined.m_responses > 0) {
      unit_sum += combined.m_mean_ms * spec.m_speed;
      ++unit_count;
    }
    candidates.m_specs.push_back(&spec);
    candidates.m_views.push_back(MakeView(spec, record, requirements, now));
    records.push_back(&record);
  }
  const double unit_ms =
      unit_count > 0 ? unit_sum / unit_count : kDefaultServiceMs;
  double best_score = -1;
  UpstreamView* affinity_target = nullptr;
  bool any_match = false;
  for (size_t i = 0; i < records.size(); ++i) {
    UpstreamView& view = candidates.m_views[i];
    view.m_service_ms =
        ServiceMs(*candidates.m_specs[i], *records[i], unit_ms, now);
    any_match = any_match || view.m_prefix_match > 0;
    if (!requirements.m_prefixes.empty()) {
      const double score =
          UnitHash(view.m_name, requirements.m_prefixes.front());
      if (score > best_score) {
        best_score = score;
        affinity_target = &view;
      }
    }
  }
  if (affinity_target != nullptr && !any_match) {
    affinity_target->m_is_prefix_owner = true;
  }
  return candidates;
}

PickedUpstream UpstreamRegistry::Acquire(
    const UpstreamSpec& spec,
    const UpstreamRequirements& requirements,
    Millis now) {
  UpstreamRecord& record = FindOrAdd(spec.m_name);
  const PeerTotals peers = SumPeers(record, now);
  const int64_t before = record.m_counts->m_online + record.m_counts->m_batch +
                         peers.m_online + peers.m_batch;
  RecordSent(record.m_breaker, now);
  record.m_active_at = now;
  for (const uint64_t hash : requirements.m_prefixes) {
    RecordPrefix(record.m_prefixes, hash, now);
    record.m_sent_prefixes.emplace_back(now, hash);
    if (record.m_sent_prefixes.size() > kMaxSentPrefixes) {
      record.m_sent_prefixes.pop_front();
    }
  }
  PickedUpstream picked;
  picked.m_name = spec.m_name;
  picked.m_url = spec.m_url;
  picked.m_in_flight = InFlight(record.m_counts, requirements.m_priority);
  picked.m_kind = spec.m_kind;
  picked.m_slots = SlotsOf(spec);
  picked.m_load =
      static_cast<double>(before) + ExternalLoad(record.m_reported, now);
  picked.m_picked_at = now;
  picked.m_send_number = record.m_counts->m_sent;
  picked.m_alone = before == 0;
  return picked;
}

Result<PickedUpstream> UpstreamRegistry::Pick(
    const UpstreamRequirements& requirements,
    std::string_view request_id) {
  const std::shared_ptr<const ConfigSnapshot> config = m_config.Get();
  const Millis now = MonotonicNow();
  PickedUpstream picked;
  UpstreamView view;
  size_t count = 0;
  double cost = 0;
  {
    absl::MutexLock lock(&m_mutex);
    const Candidates candidates = CollectCandidates(requirements, *config, now);
    const std::optional<RouteDecision> decision =
        ChooseUpstream(candidates.m_views, ThreadRandom());
    if (!decision) {
      return candidates.m_any_busy || !candidates.m_views.empty()
                 ? Fail(ResultCode::kOverloaded,
                        absl::StrCat("all upstreams of ",
                                     TargetName(requirements), " are full"))
                 : Fail(ResultCode::kNoUpstream,
                        absl::StrCat("no upstream can serve ",
                                     TargetName(requirements), " now"));
    }
    view = candidates.m_views[decision->m_index];
    count = candidates.m_views.size();
    cost = decision->m_cost;
    picked = Acquire(*candidates.m_specs[decision->m_index], requirements, now);
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
  if (requirements.m_priority == Priority::kOnline && m_online_full_callback &&
      picked.m_load + 1 >= static_cast<double>(picked.m_slots)) {
    m_online_full_callback(picked.m_name);
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
  if (spec == specs.end() || !IsInServedHalf(*spec)) {
    return Fail(ResultCode::kNoUpstream,
                absl::StrCat("there is no upstream ", std::string(name)));
  }
  const UpstreamRecord& record = FindOrAdd(name);
  if (IsUnavailable(*spec, record, leaving, now) ||
      record.m_backoff_until > now || IsReserved(record, now)) {
    return Fail(ResultCode::kNoUpstream,
                absl::StrCat("upstream ", std::string(name), " is not usable"));
  }
  UpstreamRequirements requirements;
  requirements.m_priority = priority;
  PickedUpstream picked = Acquire(*spec, requirements, now);
  Log(Severity::kDebug, LogPart::kRouting, "Picked an upstream by name.",
      {{"request", request_id}, {"upstream", name}, {"load", picked.m_load}});
  return picked;
}

std::string UpstreamRegistry::Reserve(
    const UpstreamRequirements& requirements) {
  const std::shared_ptr<const ConfigSnapshot> config = m_config.Get();
  absl::MutexLock lock(&m_mutex);
  const Candidates candidates =
      CollectCandidates(requirements, *config, MonotonicNow());
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
  // If two VMs reserve the same upstream, the one with the lower id keeps it.
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

Result<PickedUpstream> UpstreamRegistry::PickExclusive(
    const UpstreamRequirements& requirements,
    std::string_view request_id,
    Millis deadline) {
  while (MonotonicNow() < deadline) {
    const std::string name = Reserve(requirements);
    if (name.empty()) {
      SleepFor(kReservationPollInterval);
      continue;
    }
    std::shared_ptr<void> reservation(
        nullptr, [this, name](void*) { EndReservation(name); });
    const Millis reserved_at = MonotonicNow();
    bool holds = true;
    while (holds && MonotonicNow() < deadline &&
           (MonotonicNow() - reserved_at < kReservationPropagation ||
            !IsIdle(name))) {
      SleepFor(kReservationPollInterval);
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
    PickedUpstream picked = Acquire(*spec, requirements, MonotonicNow());
    picked.m_reservation = std::move(reservation);
    Log(Severity::kInfo, LogPart::kRouting, "Reserved an upstream.",
        {{"request", request_id},
         {"upstream", name},
         {"waited_ms", MonotonicNow() - reserved_at}});
    return picked;
  }
  return Fail(
      ResultCode::kOverloaded,
      "no upstream became idle in time for a request that must run alone");
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

void UpstreamRegistry::ReportCrash(std::string_view name) {
  {
    absl::MutexLock lock(&m_mutex);
    OpenBreaker(FindOrAdd(name).m_breaker, MonotonicNow());
  }
  Log(Severity::kWarning, LogPart::kUpstreams,
      "An upstream lost connections and failed its health check.",
      {{"upstream", name}});
}

void UpstreamRegistry::ReportResponse(const PickedUpstream& picked) {
  const Millis now = MonotonicNow();
  const Millis elapsed = now - picked.m_picked_at;
  absl::MutexLock lock(&m_mutex);
  UpstreamRecord& record = FindOrAdd(picked.m_name);
  RecordOutcome(record.m_breaker, false, now);
  RecordResponseTime(record.m_reported, static_cast<double>(elapsed.count()),
                     record.m_service.m_mean_ms, picked.m_slots);
  RecordResponse(record.m_service, elapsed, picked.m_load, picked.m_slots, now);
  record.m_active_at = now;
}

void UpstreamRegistry::BackOff(std::string_view name, Millis until) {
  absl::MutexLock lock(&m_mutex);
  UpstreamRecord& record = FindOrAdd(name);
  record.m_backoff_until = std::max(record.m_backoff_until, until);
}

void UpstreamRegistry::ExcludeModel(std::string_view name,
                                    std::string_view model,
                                    Millis until) {
  absl::MutexLock lock(&m_mutex);
  FindOrAdd(name).m_rejected_models.insert_or_assign(std::string(model), until);
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
  const UpstreamRequirements requirements{model, ""};
  std::vector<UpstreamLoad> loads;
  absl::MutexLock lock(&m_mutex);
  for (const UpstreamSpec& spec : config->GetManifest().m_upstreams) {
    if (!Serves(spec, requirements) || !IsInServedHalf(spec)) {
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
  load.m_usable = load.m_usable && IsInServedHalf(spec);
  return load;
}

void UpstreamRegistry::RecordPeerOnline(std::string_view name,
                                        std::string_view from,
                                        int64_t online) {
  absl::MutexLock lock(&m_mutex);
  PeerRecord& peer = FindOrAdd(name).m_peers[std::string(from)];
  peer.m_received_at = MonotonicNow();
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
  load.m_unaccounted = ExternalLoad(record.m_reported, now);
  load.m_service_ms = CombinedServiceTime(record).m_mean_ms;
  load.m_usable = !IsUnavailable(spec, record, leaving, now) &&
                  record.m_backoff_until <= now && !IsReserved(record, now);
  return load;
}

void UpstreamRegistry::RecordLoadReport(const std::string& name,
                                        const Result<LoadReport>& report,
                                        Millis sent) {
  if (!report) {
    LogError(Severity::kWarning, LogPart::kUpstreams,
             "Cannot read an upstream's load report.", report.error());
    // A refused connection or a time-out counts as a failure of the upstream; a
    // missing or malformed report does not.
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
