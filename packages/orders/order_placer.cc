#include "orders/order_placer.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "membership/rendezvous.h"
#include "orders/engine_orders.h"

namespace bronzecross {
namespace {

using nlohmann::json;

// Time after which the old half sends no new requests to a moved upstream, as a
// configuration takes effect on all VMs within 3 s.
constexpr Millis kMoveGrace{3000};
// Time within which heartbeats carry a block to all VMs.
constexpr Millis kBlockPropagation{500};
// Maximum wait for requests that still run on a blocked replica.
constexpr Millis kMaxDrain{60'000};
// Lifetime of a VM's report.
constexpr Millis kPeerReportLifetime{3000};
constexpr Millis kReadTimeout{1000};

// Names of the records under "orders/": one for each half, and one for the
// upstreams that belong to no half.
constexpr std::string_view kHalfKeyPrefix = "half/";
constexpr std::string_view kSharedKeyName = "shared";
constexpr Millis kPlanInterval{1000};

bool Contains(std::span<const std::string> names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

const UpstreamSpec* FindUpstream(const Manifest& manifest,
                                 std::string_view name) {
  for (const UpstreamSpec& spec : manifest.m_upstreams) {
    if (spec.m_name == name) {
      return &spec;
    }
  }
  return nullptr;
}

// Removes the loads of upstreams that do not belong to `half`.
void RemoveLoadsOutsideHalf(OrderRecord& record,
                            const std::string& half,
                            const Manifest& manifest) {
  std::erase_if(record.m_loads, [&](const ModelLoad& load) {
    const UpstreamSpec* spec = FindUpstream(manifest, load.m_upstream);
    return spec == nullptr || spec->m_half != half;
  });
}

}  // namespace

OrderPlacer::OrderPlacer(OrderPlacerOptions options,
                         OrderPlacerHooks hooks,
                         ConfigHolder& config,
                         Membership& membership,
                         KvClient& store)
    : m_options(std::move(options)),
      m_hooks(std::move(hooks)),
      m_config(config),
      m_membership(membership),
      m_store(store) {
  m_membership.AddSection(
      "orders", {[this] { return MakeSection(); },
                 [this](const std::string& from, const json& section) {
                   ApplySection(from, section);
                 }});
}

OrderPlacer::~OrderPlacer() {
  Stop();
}

void OrderPlacer::Start() {
  m_thread = std::thread([this] { Run(); });
}

void OrderPlacer::Stop() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

json OrderPlacer::MakeSection() {
  absl::MutexLock lock(&m_mutex);
  json section = {{"halves", m_options.m_halves}};
  if (!m_own_blocked.empty()) {
    section["blocked"] = m_own_blocked;
  }
  return section;
}

void OrderPlacer::ApplySection(const std::string& from, const json& section) {
  PeerReport report;
  section.at("halves").get_to(report.m_halves);
  if (section.contains("blocked")) {
    section.at("blocked").get_to(report.m_blocked);
  }
  report.m_received_at = MonotonicNow();
  absl::MutexLock lock(&m_mutex);
  m_peer_reports[from] = std::move(report);
}

bool OrderPlacer::IsBlocked(const std::string& upstream) const {
  const Millis now = MonotonicNow();
  absl::MutexLock lock(&m_mutex);
  const auto moved = m_moved_until.find(upstream);
  if (m_own_blocked.contains(upstream) ||
      (moved != m_moved_until.end() && now < moved->second)) {
    return true;
  }
  return std::any_of(
      m_peer_reports.begin(), m_peer_reports.end(), [&](const auto& report) {
        return now - report.second.m_received_at < kPeerReportLifetime &&
               report.second.m_blocked.contains(upstream);
      });
}

std::vector<std::string> OrderPlacer::ServedHalves(
    const Manifest& manifest) const {
  std::vector<std::string> halves;
  for (const std::string& half : manifest.m_halves) {
    if (m_options.m_halves.empty() || Contains(m_options.m_halves, half)) {
      halves.push_back(half);
    }
  }
  // Upstreams that belong to no half are served by all VMs.
  halves.push_back("");
  return halves;
}

bool OrderPlacer::IsFirst(const std::string& half) const {
  std::vector<Member> members;
  for (const Member& member : m_membership.Live()) {
    if (member.m_draining) {
      continue;
    }
    bool serves = true;
    if (member.m_id == m_membership.Self().m_id) {
      serves = true;
    } else {
      absl::MutexLock lock(&m_mutex);
      const auto report = m_peer_reports.find(member.m_id);
      serves = report != m_peer_reports.end() &&
               (half.empty() || report->second.m_halves.empty() ||
                report->second.m_halves.contains(half));
    }
    if (serves) {
      members.push_back(member);
    }
  }
  return FirstMember("orders/" + half, members) == m_membership.Self().m_id;
}

void OrderPlacer::Run() {
  while (true) {
    RunOnce();
    const Millis interval =
        IsBusy() ? m_options.m_busy_interval : m_options.m_idle_interval;
    absl::MutexLock lock(&m_mutex);
    if (m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping),
                                 absl::Milliseconds(interval.count()))) {
      return;
    }
  }
}

// Returns whether a load is in progress or a record is older than the latest
// split of the halves.
bool OrderPlacer::IsBusy() const {
  const int64_t halves_generation =
      m_config.Get()->GetManifest().m_halves_generation;
  return std::any_of(m_states.begin(), m_states.end(), [&](const auto& state) {
    return state.second.m_record &&
           (!state.second.m_record->m_loads.empty() ||
            state.second.m_record->m_generation < halves_generation);
  });
}

void OrderPlacer::RunOnce() {
  m_round_lease = m_hooks.m_lease().m_id;
  const std::shared_ptr<const ConfigSnapshot> config = m_config.Get();
  DetectMovedUpstreams(*config);
  const std::vector<std::string> halves = ServedHalves(config->GetManifest());
  const bool any_first =
      std::any_of(halves.begin(), halves.end(),
                  [this](const std::string& half) { return IsFirst(half); });
  const bool holds_any =
      std::any_of(m_states.begin(), m_states.end(), [this](const auto& state) {
        return state.second.m_record &&
               state.second.m_record->m_vm == m_membership.Self().m_id;
      });
  // Only the first VM of each half and the holders read the records.
  if ((any_first || holds_any) && config->Generation() > 0 && ReadRecords()) {
    for (const std::string& half : halves) {
      ServeHalf(half, *config);
    }
  }
}

void OrderPlacer::DetectMovedUpstreams(const ConfigSnapshot& config) {
  const Millis now = MonotonicNow();
  std::map<std::string, std::string> halves;
  for (const UpstreamSpec& spec : config.GetManifest().m_upstreams) {
    halves[spec.m_name] = spec.m_half;
    const auto before = m_last_halves.find(spec.m_name);
    if (before == m_last_halves.end() || before->second == spec.m_half ||
        m_options.m_halves.empty() ||
        !Contains(m_options.m_halves, spec.m_half) ||
        Contains(m_options.m_halves, before->second)) {
      continue;
    }
    Log(Severity::kInfo, LogPart::kOrders, "An upstream moved to this half.",
        {{"upstream", spec.m_name},
         {"from", before->second},
         {"to", spec.m_half},
         {"usable_in_ms", kMoveGrace}});
    absl::MutexLock lock(&m_mutex);
    m_moved_until[spec.m_name] = now + kMoveGrace;
  }
  m_last_halves = std::move(halves);
}

bool OrderPlacer::ReadRecords() {
  const std::string prefix = m_options.m_store_prefix + "orders/";
  const Result<KvRange> records = m_store.List(prefix);
  if (!records) {
    return false;
  }
  const Millis now = MonotonicNow();
  std::set<std::string> found;
  for (const KvEntry& entry : records->m_entries) {
    const std::string name = entry.m_key.substr(prefix.size());
    const std::string half =
        name == kSharedKeyName ? "" : name.substr(kHalfKeyPrefix.size());
    const Result<OrderRecord> record = DecodeOrderRecord(entry.m_value);
    if (!record) {
      LogError(Severity::kError, LogPart::kOrders,
               "Cannot decode a half's order record.", record.error());
      continue;
    }
    const Result<std::optional<KvEntry>> holder = m_store.Get(
        absl::StrCat(m_options.m_store_prefix, "vms/", record->m_vm));
    if (!holder) {
      return false;
    }
    const bool has_lease = *holder && (*holder)->m_lease == record->m_lease;
    HalfState& state = m_states[half];
    const bool same_holder = state.m_record &&
                             state.m_record->m_vm == record->m_vm &&
                             state.m_record->m_lease == record->m_lease;
    if (has_lease || !same_holder || state.m_holder_has_lease) {
      state.m_lease_lost_since = now;
    }
    state.m_holder_has_lease = has_lease;
    state.m_record = *record;
    state.m_revision = entry.m_mod_revision;
    found.insert(half);
  }
  std::erase_if(m_states, [&](const auto& state) {
    return !found.contains(state.first);
  });
  return true;
}

std::string OrderPlacer::KeyOf(const std::string& half) const {
  return half.empty() ? absl::StrCat(m_options.m_store_prefix, "orders/",
                                     std::string(kSharedKeyName))
                      : absl::StrCat(m_options.m_store_prefix, "orders/",
                                     std::string(kHalfKeyPrefix), half);
}

// With `check_other_halves` the write fails if another half's record changed
// since it was read, so that two halves can't exceed the maximum of loads
// together.
bool OrderPlacer::WriteRecord(const std::string& half,
                              const OrderRecord& record,
                              bool check_other_halves) {
  HalfState& state = m_states[half];
  std::vector<KvWrite> writes = {
      {KeyOf(half), EncodeOrderRecord(record), state.m_revision}};
  for (const auto& [name, other] : m_states) {
    if (check_other_halves && name != half) {
      KvWrite& check = writes.emplace_back();
      check.m_key = KeyOf(name);
      check.m_expected_revision = other.m_revision;
      check.m_check_only = true;
    }
  }
  const Result<int64_t> written = m_store.Commit(writes);
  if (!written) {
    LogError(Severity::kWarning, LogPart::kOrders,
             "Cannot write a half's order record.", written.error());
    return false;
  }
  state.m_record = record;
  state.m_revision = *written;
  return true;
}

bool OrderPlacer::MaySend() const {
  const KvLease lease = m_hooks.m_lease();
  return lease.m_id != 0 && lease.m_id == m_round_lease &&
         MaySendOrder(lease.m_expires, m_options.m_order_timeout,
                      MonotonicNow());
}

void OrderPlacer::ServeHalf(const std::string& half,
                            const ConfigSnapshot& config) {
  HalfState& state = m_states[half];
  const Member& self = m_membership.Self();
  ClaimInputs inputs;
  inputs.m_exists = state.m_record.has_value();
  inputs.m_is_own = inputs.m_exists && state.m_record->m_vm == self.m_id &&
                    state.m_record->m_lease == m_round_lease;
  inputs.m_is_first = IsFirst(half);
  inputs.m_holder_has_lease = state.m_holder_has_lease;
  inputs.m_lease_lost_since = state.m_lease_lost_since;
  const ClaimDecision decision =
      DecideClaim(inputs, m_options.m_order_timeout, MonotonicNow());
  if (decision == ClaimDecision::kClaim) {
    Claim(half);
    return;
  }
  if (decision != ClaimDecision::kHold) {
    absl::MutexLock lock(&m_mutex);
    m_own_blocked.clear();
    return;
  }
  const Manifest& manifest = config.GetManifest();
  // This thread sends all orders and waits for each response, so no order is
  // under way here and the generation can be recorded as applied.
  if (state.m_record->m_generation < manifest.m_halves_generation) {
    OrderRecord record = *state.m_record;
    record.m_generation = config.Generation();
    RemoveLoadsOutsideHalf(record, half, manifest);
    if (!WriteRecord(half, record)) {
      return;
    }
    Log(Severity::kInfo, LogPart::kOrders, "Applied a split of the halves.",
        {{"half", half}, {"generation", config.Generation()}});
  }
  if (!MayOrderMovedUpstreams(half, manifest.m_halves_generation)) {
    return;
  }
  FenceUpstreams(half, manifest);
  AdvanceLoads(half, manifest);
  PlanNewLoads(half, manifest);
}

void OrderPlacer::Claim(const std::string& half) {
  // The manifest is read from the store before the claim, so that a holder
  // never sends orders to an upstream that the store's manifest assigns to
  // another half.
  const Result<std::optional<KvEntry>> entry =
      m_store.Get(m_options.m_store_prefix + "manifest");
  if (!entry || !*entry) {
    return;
  }
  const Result<Manifest> manifest = ParseManifestJson((*entry)->m_value);
  if (!manifest || manifest->m_generation > m_config.Get()->Generation() ||
      !MaySend()) {
    return;
  }
  HalfState& state = m_states[half];
  OrderRecord record;
  record.m_vm = m_membership.Self().m_id;
  record.m_lease = m_round_lease;
  record.m_generation = manifest->m_generation;
  if (state.m_record) {
    record.m_loads = state.m_record->m_loads;
    RemoveLoadsOutsideHalf(record, half, *manifest);
  }
  const std::string former = state.m_record ? state.m_record->m_vm : "";
  if (WriteRecord(half, record)) {
    state.m_fenced.clear();
    state.m_blocked_since.clear();
    Log(Severity::kInfo, LogPart::kOrders, "Claimed a half's order record.",
        {{"half", half}, {"from", former}, {"token", state.m_revision}});
  }
}

bool OrderPlacer::MayOrderMovedUpstreams(const std::string& half,
                                         int64_t halves_generation) {
  std::vector<OtherHalf> others;
  for (const auto& [name, state] : m_states) {
    if (name != half && state.m_record) {
      others.push_back({state.m_record->m_generation, state.m_holder_has_lease,
                        state.m_lease_lost_since});
    }
  }
  return HaveOthersReleased(others, halves_generation,
                            m_options.m_order_timeout, MonotonicNow());
}

void OrderPlacer::FenceUpstreams(const std::string& half,
                                 const Manifest& manifest) {
  HalfState& state = m_states[half];
  const OrderIssuer issuer{absl::StrCat(half, "/", m_membership.Self().m_id),
                           state.m_revision};
  for (const UpstreamSpec& spec : manifest.m_upstreams) {
    if (spec.m_half != half || spec.m_kind != UpstreamKind::kEngine ||
        !spec.m_checks_fencing || state.m_fenced.contains(spec.m_name) ||
        !MaySend()) {
      continue;
    }
    const Status fenced =
        SendFenceOrder(m_http, spec.m_url, issuer, m_options.m_order_timeout);
    if (fenced) {
      state.m_fenced.insert(spec.m_name);
    }
  }
  // An upstream that returns from another half is fenced again.
  std::erase_if(state.m_fenced, [&](const std::string& name) {
    const UpstreamSpec* spec = FindUpstream(manifest, name);
    return spec == nullptr || spec->m_half != half;
  });
}

void OrderPlacer::AdvanceLoads(const std::string& half,
                               const Manifest& manifest) {
  HalfState& state = m_states[half];
  OrderRecord record = *state.m_record;
  std::erase_if(record.m_loads, [&](const ModelLoad& load) {
    const UpstreamSpec* spec = FindUpstream(manifest, load.m_upstream);
    return spec == nullptr || spec->m_half != half ||
           AdvanceLoad(state, half, load, *spec);
  });
  if (record != *state.m_record) {
    WriteRecord(half, record);
  }
  std::set<std::string> blocked;
  for (const ModelLoad& load : state.m_record->m_loads) {
    blocked.insert(load.m_upstream);
  }
  absl::MutexLock lock(&m_mutex);
  m_own_blocked = std::move(blocked);
}

// Returns whether the load has completed.
bool OrderPlacer::AdvanceLoad(HalfState& state,
                              const std::string& half,
                              const ModelLoad& load,
                              const UpstreamSpec& upstream) {
  const Millis now = MonotonicNow();
  const Millis blocked_since =
      state.m_blocked_since.try_emplace(load.m_upstream, now).first->second;
  const bool drained = now - blocked_since >= kBlockPropagation &&
                       (m_hooks.m_in_flight(load.m_upstream) == 0 ||
                        now - blocked_since >= kMaxDrain);
  if (!drained) {
    return false;
  }
  const ReplicaState replica =
      ReadReplica(m_http, load.m_upstream, upstream.m_url, kReadTimeout);
  if (!replica.m_reachable || replica.m_loading) {
    return false;
  }
  if (replica.m_model == load.m_model && replica.m_version == load.m_version) {
    state.m_blocked_since.erase(load.m_upstream);
    Log(Severity::kInfo, LogPart::kOrders, "A replica loaded a model version.",
        {{"upstream", load.m_upstream},
         {"model", load.m_model},
         {"version", load.m_version}});
    return true;
  }
  if (!MaySend()) {
    return false;
  }
  const OrderIssuer issuer{absl::StrCat(half, "/", m_membership.Self().m_id),
                           state.m_revision};
  const Status sent = SendLoadOrder(m_http, upstream.m_url, issuer, load,
                                    m_options.m_order_timeout);
  Log(Severity::kInfo, LogPart::kOrders,
      "Ordered a replica to load a model version.",
      {{"upstream", load.m_upstream},
       {"model", load.m_model},
       {"version", load.m_version},
       {"token", issuer.m_fencing_token},
       {"reason", replica.m_model.empty() ? "empty" : "outdated"},
       {"accepted", sent ? "yes" : sent.error().m_message}});
  return false;
}

void OrderPlacer::PlanNewLoads(const std::string& half,
                               const Manifest& manifest) {
  HalfState& state = m_states[half];
  const Millis now = MonotonicNow();
  if (now < state.m_next_plan) {
    return;
  }
  state.m_next_plan = now + kPlanInterval;
  OrderRecord record = *state.m_record;
  int64_t capacity =
      manifest.m_max_loads - static_cast<int64_t>(record.m_loads.size());
  // All halves share the rate of the weight store, so loads of the others
  // count.
  for (const auto& [name, other] : m_states) {
    if (name != half && other.m_record) {
      capacity -= static_cast<int64_t>(other.m_record->m_loads.size());
    }
  }
  for (const ModelSpec& model : manifest.m_models) {
    std::vector<ReplicaState> replicas;
    for (const UpstreamSpec& spec : manifest.m_upstreams) {
      if (spec.m_half != half || spec.m_kind != UpstreamKind::kEngine ||
          spec.m_state == UpstreamState::kLeaving ||
          !Contains(spec.m_models, model.m_name)) {
        continue;
      }
      ReplicaState replica =
          ReadReplica(m_http, spec.m_name, spec.m_url, kReadTimeout);
      replica.m_in_flight = m_hooks.m_in_flight(spec.m_name);
      replica.m_planned =
          std::any_of(record.m_loads.begin(), record.m_loads.end(),
                      [&](const ModelLoad& load) {
                        return load.m_upstream == spec.m_name;
                      });
      replicas.push_back(std::move(replica));
    }
    const LoadGoal goal{model.m_name, model.m_version, model.m_min_ready};
    for (const size_t index : PlanLoads(replicas, goal, capacity)) {
      --capacity;
      record.m_loads.push_back(
          {replicas[index].m_upstream, model.m_name, model.m_version});
      Log(Severity::kInfo, LogPart::kOrders, "Planned a model load.",
          {{"upstream", replicas[index].m_upstream},
           {"model", model.m_name},
           {"from", replicas[index].m_version},
           {"to", model.m_version},
           {"in_flight", replicas[index].m_in_flight},
           {"room_left", capacity}});
    }
  }
  if (record != *state.m_record) {
    WriteRecord(half, record, true);
  }
}

}  // namespace bronzecross
