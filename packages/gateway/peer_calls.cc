#include "gateway/peer_calls.h"

#include <algorithm>
#include <span>
#include <vector>

#include "base/log.h"
#include "base/random.h"
#include "base/text.h"
#include "cluster/watchers.h"
#include "gateway/changes_message.h"
#include "gateway/token_calls.h"

namespace bronzecross {
namespace {

// Maximum idle time after which a connection to a peer is still reused.
constexpr Millis kIdleConnection{8'000};

// Maximum size of a peer's reply.
constexpr size_t kMaxReplyBytes = 8 << 20;

// Maximum number of peers at which one store call is tried.
constexpr size_t kMaxRelayPeers = 2;

// How long a peer that could not relay a call isn't asked again. It takes about
// this long until its gossip tells whether it reaches the store.
constexpr Millis kFailedRelayPause{1'000};

// Bounds of the time without relayed calls after one that no peer could relay;
// it doubles with each further one.
constexpr Millis kFirstRelayPause{100};
constexpr Millis kMaxRelayPause{1'600};

// Minimum time given to one peer for a store call, unless the deadline is
// earlier. Calls whose deadline is more than twice this time away are treated
// as watches.
constexpr Millis kRelayTimeout{900};

// Added to the wait budget of a request for a rate token, for the round trip to
// the other VM with a new connection.
constexpr Millis kTokenCallMargin{60};

// Time to send rate tokens to their new owner.
constexpr Millis kTokenHandoverTimeout{500};

// How long a watcher isn't used after it failed.
constexpr Millis kWatcherRetryDelay{2'000};

// Added to the wait for changes before the call to the watcher times out.
constexpr Millis kChangesTimeoutMargin{1'000};

// The same times for calls to a fleet watcher. They are short, because the
// gossip that shows that a VM of another group is lost is rare, and a whole
// group would miss changes meanwhile.
constexpr Millis kFleetWatcherWait{1'000};
constexpr Millis kFleetWatcherMargin{300};

constexpr int kOkStatus = 200;
constexpr int kTooManyStatus = 429;
constexpr int kUnavailableStatus = 503;

bool Contains(std::span<const std::string> list, std::string_view value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

ConnectionPool& PeerCalls::PoolOf(const NetAddress& address) {
  std::unique_ptr<ConnectionPool>& pool = m_pools[address.ToString()];
  if (pool == nullptr) {
    pool = std::make_unique<ConnectionPool>(address, kIdleConnection);
  }
  return *pool;
}

Task<Result<WholeResponse>> PeerCalls::CallAddress(NetAddress address,
                                                   WholeRequest request,
                                                   Millis deadline) {
  Result<WholeResponse> response = co_await Exchange(
      PoolOf(address), std::move(request), deadline, kMaxReplyBytes);
  if (!response) {
    PoolOf(address).Clear();
  }
  co_return response;
}

Task<Result<WholeResponse>> PeerCalls::Call(std::string vm,
                                            WholeRequest request,
                                            Millis deadline) {
  const auto found = m_cluster.Peers().find(vm);
  if (found == m_cluster.Peers().end()) {
    co_return Fail(ResultCode::kPeerUnavailable, "the VM is unknown");
  }
  const NetAddress address = found->second.m_record.m_address;
  Result<WholeResponse> response =
      co_await CallAddress(address, std::move(request), deadline);
  co_return response;
}

std::vector<std::string> PeerCalls::FindRelayPeers() const {
  const Millis now = MonotonicNow();
  std::vector<std::string> peers;
  for (auto entry = m_cluster.Peers().begin(); entry != m_cluster.Peers().end();
       ++entry) {
    const PeerVm& peer = entry->second;
    const auto failed = m_failed_relays.find(entry->first);
    if (IsRecentlySeen(peer, now, kMaxGossipAge) &&
        peer.m_gossip.m_reaches_store &&
        m_is_in_relay_scope(peer.m_record.m_zone) &&
        (failed == m_failed_relays.end() || failed->second <= now)) {
      peers.push_back(entry->first);
    }
  }
  return peers;
}

Task<Status> PeerCalls::RequestRateToken(std::string vm,
                                         TokenRequest request,
                                         std::string workspace) {
  WholeRequest call;
  call.m_head.m_method = "POST";
  call.m_head.m_target = std::string(kPeerTokenPath);
  call.m_head.Add(kPeerWorkspaceField, workspace);
  EncodeTokenRequest(request, call.m_head);
  const Millis max_wait = std::max(request.m_max_wait, request.m_wait_budget);
  const Result<WholeResponse> response =
      co_await Call(std::move(vm), std::move(call),
                    MonotonicNow() + max_wait + kTokenCallMargin);
  if (!response) {
    co_return tl::unexpected<Error>(response.error());
  }
  const MessageHead& head = response->m_head;
  if (head.m_status == kOkStatus) {
    co_return Status();
  }
  if (head.m_status != kTooManyStatus) {
    co_return Fail(ResultCode::kPeerUnavailable,
                   Concat("the VM replied with status ", head.m_status));
  }
  Error error;
  error.m_code = ResultCode::kRateLimited;
  error.m_message = Concat("workspace ", workspace, " is over its rate");
  error.m_retry_after =
      Millis(ParseDecimal(head.Find(kPeerRetryAfterField)).value_or(0));
  co_return tl::unexpected<Error>(error);
}

Task<> PeerCalls::HandOverTokens(std::string vm, TokenHandover handover) {
  WholeRequest call;
  call.m_head.m_method = "POST";
  call.m_head.m_target = std::string(kPeerTokenHandoverPath);
  EncodeTokenHandover(handover, call.m_head);
  const Result<WholeResponse> response = co_await Call(
      vm, std::move(call), MonotonicNow() + kTokenHandoverTimeout);
  if (!response) {
    Log(Severity::kWarning, LogPart::kLimits, "Rate tokens were lost.",
        {{"workspace", handover.m_workspace},
         {"tokens", handover.m_tokens},
         {"to", vm},
         {"reason", response.error().m_message}});
  }
}

PeerCalls::WatcherChoice PeerCalls::ChooseWatcher(WatchLevels levels,
                                                  Millis now) const {
  const std::string& self = m_cluster.Self().m_id;
  WatcherChoice choice;
  std::vector<std::string> watchers = FindWatchers(self, m_cluster.OwnGroup());
  if (watchers.empty()) {
    return choice;
  }
  std::vector<std::string> of_fleet = FindFleetWatchers(m_cluster.Members(now));
  if (Contains(of_fleet, self)) {
    return choice;
  }
  // Only VMs of the same group send gossip often enough for the short window.
  Millis window = kMaxGossipAge;
  if (Contains(watchers, self)) {
    if (levels == WatchLevels::kGroups) {
      return choice;
    }
    choice.m_only_if_watching = true;
    watchers = std::move(of_fleet);
    window = kRecentlySeenWindow;
  }
  std::vector<std::string> usable;
  for (const std::string& watcher : watchers) {
    const auto peer = m_cluster.Peers().find(watcher);
    const auto failed = m_failed_watchers.find(watcher);
    if (peer != m_cluster.Peers().end() &&
        IsRecentlySeen(peer->second, now, window) &&
        (!choice.m_only_if_watching || peer->second.m_gossip.m_reaches_store) &&
        (failed == m_failed_watchers.end() || failed->second <= now)) {
      usable.push_back(watcher);
    }
  }
  if (!usable.empty()) {
    choice.m_vm = usable[ShortHash(self) % usable.size()];
  }
  return choice;
}

bool PeerCalls::HasWatcher(WatchLevels levels) const {
  return !ChooseWatcher(levels, MonotonicNow()).m_vm.empty();
}

bool PeerCalls::IsGroupWatcher() const {
  const std::string& self = m_cluster.Self().m_id;
  return Contains(FindWatchers(self, m_cluster.OwnGroup()), self);
}

bool PeerCalls::IsChecker() const {
  const Millis now = MonotonicNow();
  std::vector<std::string_view> others;
  m_cluster.ForEachGroupPeer([&](std::string_view id, const PeerVm& peer) {
    if (IsRecentlySeen(peer, now, kMaxGossipAge) &&
        peer.m_gossip.m_reaches_store) {
      others.push_back(id);
    }
  });
  return IsFirstWatcher(m_cluster.Self().m_id, others);
}

Task<Result<KvChanges>> PeerCalls::WaitForChanges(std::string prefix,
                                                  WatchLevels levels,
                                                  int64_t after,
                                                  Millis wait) {
  const WatcherChoice choice = ChooseWatcher(levels, MonotonicNow());
  const std::string watcher = choice.m_vm;
  WholeRequest request;
  request.m_head.m_method = "GET";
  request.m_head.m_target = std::string(kPeerChangesPath);
  request.m_head.Add(kPeerPrefixField, prefix);
  request.m_head.Add(kPeerAfterField, Concat(after));
  if (choice.m_only_if_watching) {
    request.m_head.Add(kPeerOnlyIfWatchingField, "1");
  }
  const bool is_fleet_watcher = choice.m_only_if_watching;
  const Millis call_wait =
      is_fleet_watcher ? std::min(wait, kFleetWatcherWait) : wait;
  const Millis margin =
      is_fleet_watcher ? kFleetWatcherMargin : kChangesTimeoutMargin;
  request.m_head.Add(kPeerWaitBudgetField, Concat(call_wait.count()));
  const Result<WholeResponse> response = co_await Call(
      watcher, std::move(request), MonotonicNow() + call_wait + margin);
  std::optional<KvChanges> changes;
  if (response && response->m_head.m_status == kOkStatus) {
    changes = DecodeChanges(response->m_body);
  }
  if (changes) {
    co_return *std::move(changes);
  }
  m_failed_watchers[watcher] = MonotonicNow() + kWatcherRetryDelay;
  Log(Severity::kInfo, LogPart::kStore, "A watcher didn't tell of changes.",
      {{"vm", watcher},
       {"prefix", prefix},
       {"after", after},
       {"reason", response ? Concat("status ", response->m_head.m_status)
                           : response.error().m_message}});
  co_return Fail(ResultCode::kPeerUnavailable,
                 "the watcher did not report changes");
}

bool PeerCalls::CanRelay() const {
  return MonotonicNow() >= m_no_relay_until && !FindRelayPeers().empty();
}

Millis RelayPause(int failures) {
  return std::min(kFirstRelayPause * (int64_t{1} << std::clamp(failures, 0, 8)),
                  kMaxRelayPause);
}

Task<Result<KvReply>> PeerCalls::Relay(KvCall call, Millis deadline) {
  const Millis now = MonotonicNow();
  std::vector<std::string> peers = FindRelayPeers();
  std::shuffle(peers.begin(), peers.end(), ThreadRandom());
  const auto last = std::find(peers.begin(), peers.end(), m_last_relay_peer);
  if (last != peers.end()) {
    std::iter_swap(peers.begin(), last);
  }
  // A watch isn't tried at a second peer: the caller pauses before its next
  // watch, for whatever reason this one ended.
  const bool is_long = deadline - now > kRelayTimeout * 2;
  peers.resize(std::min(peers.size(), is_long ? size_t{1} : kMaxRelayPeers));
  // Unknown if at least one peer may have sent the call to the store. A later
  // refusal by the store says nothing about that attempt.
  RunState run = RunState::kNotRun;
  for (const std::string& peer : peers) {
    WholeRequest request;
    request.m_head.m_method = "POST";
    request.m_head.m_target = std::string(kPeerStorePath);
    request.m_head.Add(kPeerMethodField, call.m_method);
    request.m_head.Add(kPeerTargetField, call.m_target);
    request.m_body = call.m_body;
    const Millis until =
        peer == peers.back()
            ? deadline
            : std::min(deadline,
                       MonotonicNow() +
                           std::max(kRelayTimeout, (deadline - now) / 2));
    Result<WholeResponse> response =
        co_await Call(peer, std::move(request), until);
    if (!response || response->m_head.m_status != kOkStatus) {
      m_failed_relays[peer] = MonotonicNow() + kFailedRelayPause;
    }
    if (!response) {
      run = response.error().m_run == RunState::kUnknown ? RunState::kUnknown
                                                         : run;
      continue;
    }
    const std::optional<int64_t> status =
        ParseDecimal(response->m_head.Find(kPeerStatusField));
    if (response->m_head.m_status != kOkStatus || !status) {
      run = response->m_head.Find(kPeerRunField) ==
                    RunStateName(RunState::kNotRun)
                ? run
                : RunState::kUnknown;
      continue;
    }
    const bool is_refusal =
        *status == kTooManyStatus || *status == kUnavailableStatus;
    if (is_refusal) {
      m_failed_relays[peer] = MonotonicNow() + kFailedRelayPause;
    }
    if (is_refusal && run == RunState::kUnknown) {
      break;
    }
    KvReply reply;
    reply.m_status = static_cast<int>(*status);
    reply.m_body = std::move(response->m_body);
    if (is_refusal) {
      m_no_relay_until = MonotonicNow() + RelayPause(m_relay_failures++);
      co_return reply;
    }
    m_last_relay_peer = peer;
    m_relay_failures = 0;
    co_return reply;
  }
  m_no_relay_until = MonotonicNow() + RelayPause(m_relay_failures++);
  Error error;
  error.m_code = ResultCode::kStoreUnavailable;
  error.m_message = run == RunState::kUnknown
                        ? "a peer may have sent the call to the store"
                        : "no peer reaches the store";
  error.m_run = run;
  co_return tl::unexpected<Error>(error);
}

}  // namespace bronzecross
