#include "limits/slot_manager.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include "base/log.h"
#include "base/random.h"
#include "peers/message.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kValidityInterval{20};
constexpr Millis kStoreInterval{50};
constexpr Millis kPullTimeout{300};
// VMs write changes in the order of their ids. Each waits this much longer than
// the previous one, which may have no path to the store.
constexpr Millis kTurnDelay{400};
constexpr Millis kEndedInterval{1000};
constexpr Millis kHandOverTimeout{1500};

json EncodeIds(const auto& ids) {
  json list = json::array();
  for (const SlotHolderId& id : ids) {
    list.push_back({id.m_vm, id.m_incarnation});
  }
  return list;
}

std::vector<SlotHolderId> DecodeIds(const json& list) {
  std::vector<SlotHolderId> ids;
  for (const json& item : list) {
    ids.push_back({item.at(0), item.at(1)});
  }
  return ids;
}

bool IsHeldNow(const KvLease& lease, Millis now) {
  return lease.m_id != 0 && now < lease.m_expires;
}

}  // namespace

SlotManager::SlotManager(SlotManagerOptions options,
                         Membership& membership,
                         PeerServer& server,
                         KvClient& store,
                         std::function<KvLease()> lease)
    : m_options(std::move(options)),
      m_table_key(m_options.m_store_prefix + "slots"),
      m_membership(membership),
      m_store(store),
      m_lease(std::move(lease)),
      m_self{membership.Self().m_id, membership.Self().m_incarnation} {
  m_membership.AddSection(
      "slots", {[this] { return MakeSection(); },
                [this](const std::string& from, const json& section) {
                  OnSection(from, section);
                },
                /*m_always=*/true});
  server.Register("limits.slots", PeerDispatch::kOnConnection,
                  [this](std::string_view, Millis) -> Result<std::string> {
                    absl::MutexLock lock(&m_mutex);
                    return EncodeMessage(SlotTableToJson(m_table));
                  });
}

SlotManager::~SlotManager() {
  Stop();
}

void SlotManager::Start() {
  m_validity_thread = std::thread([this] { RunValidity(); });
  m_store_thread = std::thread([this] { RunStore(); });
}

void SlotManager::Stop() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  if (m_store_thread.joinable()) {
    m_store_thread.join();
    m_validity_thread.join();
    // Retries, as the previous version may not be settled yet.
    const Millis deadline = MonotonicNow() + kHandOverTimeout;
    while (HoldsSlots() && MonotonicNow() < deadline) {
      StoreStep(true);
      SleepFor(kStoreInterval);
    }
  }
}

bool SlotManager::WaitStopped(Millis duration) {
  absl::MutexLock lock(&m_mutex);
  return m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping),
                                  absl::Milliseconds(duration.count()));
}

std::string SlotManager::HolderKey(const SlotHolderId& id) const {
  return absl::StrCat(m_options.m_store_prefix, "slot_holders/", id.m_vm, "/",
                      id.m_incarnation);
}

json SlotManager::MakeSection() {
  const bool held = IsHeldNow(m_lease(), MonotonicNow());
  absl::MutexLock lock(&m_mutex);
  return {{"n", ++m_sequence},
          {"i", m_self.m_incarnation},
          {"v", m_table.m_version},
          {"c", held && m_registered_lease != 0 && !m_stopping},
          {"r", EncodeIds(m_reported)},
          {"e", EncodeIds(m_ended)}};
}

void SlotManager::OnSection(const std::string& from, const json& section) {
  const SlotHolderId id{from, section.at("i")};
  const int64_t sequence = section.at("n");
  const std::vector<SlotHolderId> reported = DecodeIds(section.at("r"));
  absl::MutexLock lock(&m_mutex);
  const Millis now = MonotonicNow();
  m_last_seen[id] = now;
  PeerState& state = m_peers[from];
  if (id < state.m_peer.m_id ||
      (id == state.m_peer.m_id && sequence <= state.m_sequence)) {
    return;  // a newer heartbeat arrived first
  }
  state.m_peer.m_id = id;
  state.m_sequence = sequence;
  state.m_received = now;
  section.at("v").get_to(state.m_peer.m_version);
  section.at("c").get_to(state.m_peer.m_candidate);
  state.m_peer.m_reported = {reported.begin(), reported.end()};
  state.m_ended = DecodeIds(section.at("e"));
}

std::vector<SlotPeer> SlotManager::Peers(Millis now) const {
  std::vector<SlotPeer> peers;
  for (const auto& [vm, state] : m_peers) {
    peers.push_back(state.m_peer);
    peers.back().m_candidate =
        state.m_peer.m_candidate && now - state.m_received <= kLivenessTimeout;
  }
  peers.push_back({m_self, m_table.m_version, m_reported,
                   m_registered_lease != 0 && !m_stopping});
  return peers;
}

void SlotManager::RunValidity() {
  do {
    UpdateValidity();
  } while (!WaitStopped(kValidityInterval));
}

void SlotManager::UpdateValidity() {
  const KvLease lease = m_lease();
  const std::vector<Member> known = m_membership.Known();
  absl::MutexLock lock(&m_mutex);
  const Millis now = MonotonicNow();
  std::vector<SlotContact> contacts;
  for (const Member& member : known) {
    const auto found = m_peers.find(member.m_id);
    if (found != m_peers.end()) {
      const SlotPeer& peer = found->second.m_peer;
      contacts.push_back({peer.m_id, member.m_last_seen, peer.m_version,
                          peer.m_reported.contains(m_self)});
    }
  }
  const Millis until = SlotsUsableUntil(
      m_table, m_self, {m_registered_lease, lease.m_id, lease.m_expires},
      contacts, now);
  if ((now < until) != (now < m_usable_until)) {
    Log(Severity::kInfo, LogPart::kLimits,
        now < until ? "Using this VM's slots." : "Not using this VM's slots.",
        {{"version", m_table.m_version},
         {"slots", SlotsOf(m_table, m_self)},
         {"lease_held", IsHeldNow(lease, now)}});
  }
  m_usable_until = until;

  std::set<SlotHolderId> ended(m_ended.begin(), m_ended.end());
  for (const auto& [vm, state] : m_peers) {
    ended.insert(state.m_ended.begin(), state.m_ended.end());
  }
  for (const SlotHolder& holder : m_table.m_holders) {
    const auto seen = m_last_seen.find(holder.m_id);
    const HolderObservation view{
        m_started, seen == m_last_seen.end() ? Millis(0) : seen->second};
    if (holder.m_id != m_self && ended.contains(holder.m_id) &&
        MayReportUnresponsive(view, now) &&
        m_reported.insert(holder.m_id).second) {
      Log(Severity::kInfo, LogPart::kLimits,
          "Reporting a slot holder as unresponsive.",
          {{"vm", holder.m_id.m_vm}, {"version", m_table.m_version}});
    }
  }
  if (!IsSettled(m_table, Peers(now))) {
    m_settled_since = Millis(0);
  } else if (m_settled_since == Millis(0)) {
    m_settled_since = now;
  }
}

void SlotManager::RunStore() {
  do {
    StoreStep(false);
  } while (!WaitStopped(kStoreInterval));
}

void SlotManager::StoreStep(bool leaving) {
  PullFromPeer();
  const KvLease lease = m_lease();
  if (!IsHeldNow(lease, MonotonicNow())) {
    return;
  }
  int64_t registered = 0;
  {
    absl::MutexLock lock(&m_mutex);
    registered = m_registered_lease;
  }
  if (registered != lease.m_id && (leaving || !Register(lease))) {
    return;
  }
  FindEnded();
  std::optional<TableChange> change;
  std::vector<SlotHolderId> lost;
  {
    absl::MutexLock lock(&m_mutex);
    const Millis now = MonotonicNow();
    const std::vector<SlotPeer> peers = Peers(now);
    const bool settled = IsSettled(m_table, peers);
    if (settled && m_settled_since != Millis(0) &&
        now - m_settled_since >= kSettledBeforeTakeover) {
      lost = FindLost(m_table, peers, m_ended);
      // Replies sent just before the reports stay valid for kContactWindow. A
      // VM may also reply to a holder that it does not know and therefore has
      // not seen.
      std::erase_if(lost, [this, now](const SlotHolderId& id) {
        const Millis since = m_lost_since.try_emplace(id, now).first->second;
        return now - since < kSettledBeforeTakeover;
      });
    }
    change =
        PlanTable(m_table, m_options.m_slots, m_self, leaving, peers, lost);
    // The next version cancels the reports about this VM.
    const bool reported =
        std::any_of(peers.begin(), peers.end(), [this](const SlotPeer& peer) {
          return peer.m_version == m_table.m_version &&
                 peer.m_reported.contains(m_self);
        });
    if (!change && reported && !leaving) {
      change = TableChange{NextVersion(m_table), 0};
    }
    if (!change || !settled) {
      m_change_pending_since = change ? m_change_pending_since : Millis(0);
      return;
    }
    if (m_change_pending_since == Millis(0)) {
      m_change_pending_since = now;
    }
    if (!leaving && !reported && change->m_released == 0 && !IsMyTurn(now)) {
      return;
    }
    m_change_pending_since = Millis(0);
  }
  WriteTable(*change, lost);
}

bool SlotManager::IsMyTurn(Millis now) {
  int64_t before = 0;
  for (const SlotPeer& peer : Peers(now)) {
    before += peer.m_candidate && peer.m_id < m_self ? 1 : 0;
  }
  return now - m_change_pending_since >= kTurnDelay * before;
}

Status SlotManager::Register(const KvLease& lease) {
  const std::string key = HolderKey(m_self);
  const Result<std::optional<KvEntry>> old = m_store.Get(key);
  if (!old) {
    return tl::unexpected<Error>(old.error());
  }
  const Result<int64_t> written = m_store.Commit(
      {{key, RandomId(), *old ? (*old)->m_mod_revision : 0, lease.m_id}});
  if (!written) {
    return tl::unexpected<Error>(written.error());
  }
  // The lease allows the use of slots only with a table that was read after the
  // key was written: a takeover may have happened before.
  const Status read = ReadTable();
  if (!read) {
    return read;
  }
  absl::MutexLock lock(&m_mutex);
  m_registered_lease = lease.m_id;
  return {};
}

Status SlotManager::ReadTable() {
  const Result<std::optional<KvEntry>> entry = m_store.Get(m_table_key);
  if (!entry) {
    return tl::unexpected<Error>(entry.error());
  }
  if (!*entry) {
    return {};
  }
  const json document = json::parse((*entry)->m_value, nullptr, false);
  const Result<SlotTable> table = SlotTableFromJson(document);
  if (!table) {
    LogError(Severity::kError, LogPart::kLimits, "Cannot read the slot table.",
             table.error());
    return tl::unexpected<Error>(table.error());
  }
  absl::MutexLock lock(&m_mutex);
  Install(*table, (*entry)->m_mod_revision);
  return {};
}

void SlotManager::Install(const SlotTable& table, int64_t revision) {
  if (table.m_version == m_table.m_version && revision != 0) {
    m_revision = revision;
  }
  if (table.m_version <= m_table.m_version) {
    return;
  }
  m_table = table;
  m_revision = revision;
  m_reported.clear();
  m_lost_since.clear();
  m_settled_since = Millis(0);
  if (table.m_version > m_withheld_version) {
    m_withheld = 0;
  }
  std::erase_if(
      m_ended, [&](const SlotHolderId& id) { return SlotsOf(table, id) == 0; });
}

void SlotManager::PullFromPeer() {
  std::string from;
  {
    absl::MutexLock lock(&m_mutex);
    int64_t highest = m_table.m_version;
    for (const auto& [vm, state] : m_peers) {
      if (state.m_peer.m_version > highest) {
        highest = state.m_peer.m_version;
        from = vm;
      }
    }
  }
  if (from.empty()) {
    return;
  }
  const Result<json> reply =
      m_membership.Call(from, "limits.slots", json::object(), kPullTimeout);
  const Result<SlotTable> table =
      reply ? SlotTableFromJson(*reply)
            : Result<SlotTable>(tl::unexpected<Error>(reply.error()));
  if (table) {
    absl::MutexLock lock(&m_mutex);
    Install(*table, 0);
  }
}

void SlotManager::FindEnded() {
  std::vector<SlotHolderId> unresponsive;
  {
    absl::MutexLock lock(&m_mutex);
    const Millis now = MonotonicNow();
    if (now - m_ended_checked < kEndedInterval) {
      return;
    }
    m_ended_checked = now;
    for (const SlotHolder& holder : m_table.m_holders) {
      const auto seen = m_last_seen.find(holder.m_id);
      if (holder.m_id != m_self &&
          MayReportUnresponsive(
              {m_started, seen == m_last_seen.end() ? Millis(0) : seen->second},
              now)) {
        unresponsive.push_back(holder.m_id);
      }
    }
  }
  if (unresponsive.empty()) {
    absl::MutexLock lock(&m_mutex);
    m_ended.clear();
    return;
  }
  const Result<KvRange> keys =
      m_store.List(m_options.m_store_prefix + "slot_holders/");
  if (!keys) {
    return;
  }
  std::erase_if(unresponsive, [&](const SlotHolderId& id) {
    return std::any_of(
        keys->m_entries.begin(), keys->m_entries.end(),
        [&](const KvEntry& entry) { return entry.m_key == HolderKey(id); });
  });
  absl::MutexLock lock(&m_mutex);
  m_ended = unresponsive;
}

void SlotManager::WriteTable(const TableChange& change,
                             const std::vector<SlotHolderId>& lost) {
  if (!ReadTable()) {
    return;
  }
  int64_t revision = 0;
  {
    absl::MutexLock lock(&m_mutex);
    if (m_table.m_version + 1 != change.m_table.m_version) {
      return;  // another VM wrote a version first
    }
    revision = m_revision;
    // Withheld before the write, which may take effect even if no reply
    // arrives.
    m_withheld = change.m_released;
    m_withheld_version = m_table.m_version;
  }
  json document = SlotTableToJson(change.m_table);
  document["writer"] = RandomId();
  std::vector<KvWrite> writes = {{m_table_key, document.dump(), revision}};
  // Requires that the keys of lost holders are absent: the write fails if one
  // has registered in the store again.
  for (const SlotHolderId& id : lost) {
    writes.push_back({HolderKey(id), "", 0, 0, true});
  }
  const Result<int64_t> written = m_store.Commit(writes);
  if (!written) {
    LogError(Severity::kInfo, LogPart::kLimits, "Cannot write the slot table.",
             written.error());
    static_cast<void>(ReadTable());
    return;
  }
  std::string holders;
  for (const SlotHolder& holder : change.m_table.m_holders) {
    absl::StrAppend(&holders, holders.empty() ? "" : ",", holder.m_id.m_vm, ":",
                    holder.m_slots);
  }
  Log(Severity::kInfo, LogPart::kLimits, "Wrote the slot table.",
      {{"version", change.m_table.m_version},
       {"holders", holders},
       {"taken_over", static_cast<int64_t>(lost.size())},
       {"given_up", change.m_released}});
  absl::MutexLock lock(&m_mutex);
  Install(change.m_table, *written);
}

SlotShare SlotManager::Share() const {
  absl::MutexLock lock(&m_mutex);
  const SlotHolder* holder = FindHolder(m_table, m_self.m_vm);
  if (holder == nullptr || holder->m_id != m_self) {
    return {};
  }
  const double slots =
      static_cast<double>(std::max<int64_t>(holder->m_slots - m_withheld, 0));
  return {slots / static_cast<double>(m_table.m_slots), holder->m_since,
          m_usable_until};
}

std::map<std::string, double> SlotManager::PeerShares() const {
  std::map<std::string, double> shares;
  absl::MutexLock lock(&m_mutex);
  for (const SlotHolder& holder : m_table.m_holders) {
    if (holder.m_id.m_vm != m_self.m_vm) {
      shares[holder.m_id.m_vm] = static_cast<double>(holder.m_slots) /
                                 static_cast<double>(m_table.m_slots);
    }
  }
  return shares;
}

bool SlotManager::HasTable() const {
  absl::MutexLock lock(&m_mutex);
  return !m_table.m_holders.empty();
}

bool SlotManager::HoldsSlots() const {
  absl::MutexLock lock(&m_mutex);
  return SlotsOf(m_table, m_self) > 0;
}

json SlotManager::Describe() const {
  absl::MutexLock lock(&m_mutex);
  json table = SlotTableToJson(m_table);
  table["usable"] = MonotonicNow() < m_usable_until;
  return table;
}

}  // namespace bronzecross
