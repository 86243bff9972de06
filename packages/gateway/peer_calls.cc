#include "gateway/peer_calls.h"

#include <algorithm>
#include <vector>

#include "base/log.h"
#include "base/random.h"
#include "base/text.h"
#include "cluster/watchers.h"
#include "gateway/changes_message.h"

namespace bronzecross {
namespace {

// How long an idle connection to a peer is used again.
constexpr Millis kIdleConnection{8'000};

// Largest answer of a peer.
constexpr size_t kMostReplyBytes = 8 << 20;

// Peers that are asked to carry one store call.
constexpr size_t kMostRelays = 2;

// Time given to one peer for a store call, beside the wait of a watch.
constexpr Millis kRelayTimeout{900};

// Added to the patience of a request for a rate token: the way to the other VM
// and back, with a new connection.
constexpr Millis kTokenCallTime{60};

// How long a watcher that failed isn't asked again.
constexpr Millis kWatcherPause{2'000};

// Added to the wait for changes before the watcher counts as lost.
constexpr Millis kChangesSlack{1'000};

constexpr int kOkStatus = 200;
constexpr int kTooManyStatus = 429;

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
      PoolOf(address), std::move(request), deadline, kMostReplyBytes);
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
    co_return Fail(ResultCode::kPeerUnavailable, "the VM isn't known");
  }
  const NetAddress address = found->second.m_record.m_address;
  Result<WholeResponse> response =
      co_await CallAddress(address, std::move(request), deadline);
  co_return response;
}

std::vector<std::string> PeerCalls::RelayPeers() const {
  const Millis now = MonotonicNow();
  std::vector<std::string> peers;
  for (auto entry = m_cluster.Peers().begin(); entry != m_cluster.Peers().end();
       ++entry) {
    const PeerVm& peer = entry->second;
    if (IsHeard(peer, now, kFreshNews) && peer.m_news.m_reaches_store) {
      peers.push_back(entry->first);
    }
  }
  return peers;
}

Task<Status> PeerCalls::RequestRateToken(std::string vm,
                                         std::string request_id,
                                         std::string workspace,
                                         Millis patience) {
  WholeRequest request;
  request.m_head.m_method = "POST";
  request.m_head.m_target = std::string(kPeerTokenPath);
  request.m_head.Add(kPeerRequestField, request_id);
  request.m_head.Add(kPeerWorkspaceField, workspace);
  request.m_head.Add(kPeerPatienceField, Concat(patience.count()));
  const Result<WholeResponse> response =
      co_await Call(std::move(vm), std::move(request),
                    MonotonicNow() + patience + kTokenCallTime);
  if (!response) {
    co_return tl::unexpected<Error>(response.error());
  }
  const MessageHead& head = response->m_head;
  if (head.m_status == kOkStatus) {
    co_return Status();
  }
  if (head.m_status != kTooManyStatus) {
    co_return Fail(ResultCode::kPeerUnavailable,
                   Concat("the VM answered with status ", head.m_status));
  }
  Error error;
  error.m_code = ResultCode::kRateLimited;
  error.m_message = Concat("workspace ", workspace, " is over its rate");
  error.m_retry_after =
      Millis(ParseDecimal(head.Find(kPeerRetryField)).value_or(0));
  co_return tl::unexpected<Error>(error);
}

std::string PeerCalls::ChooseWatcher(Millis now) const {
  const std::string& self = m_cluster.Self().m_id;
  const std::vector<std::string> watchers =
      FindWatchers(self, m_cluster.OwnCell());
  if (std::find(watchers.begin(), watchers.end(), self) != watchers.end()) {
    return "";
  }
  std::vector<std::string> usable;
  for (const std::string& watcher : watchers) {
    const auto peer = m_cluster.Peers().find(watcher);
    const auto failed = m_failed_watchers.find(watcher);
    if (peer != m_cluster.Peers().end() &&
        IsHeard(peer->second, now, kFreshNews) &&
        peer->second.m_news.m_reaches_store &&
        (failed == m_failed_watchers.end() || failed->second <= now)) {
      usable.push_back(watcher);
    }
  }
  return usable.empty() ? "" : usable[ShortHash(self) % usable.size()];
}

bool PeerCalls::HasWatcher() const {
  return !ChooseWatcher(MonotonicNow()).empty();
}

Task<Result<KvChanges>> PeerCalls::WaitForChanges(std::string prefix,
                                                  int64_t after,
                                                  Millis wait) {
  const std::string watcher = ChooseWatcher(MonotonicNow());
  WholeRequest request;
  request.m_head.m_method = "GET";
  request.m_head.m_target = std::string(kPeerChangesPath);
  request.m_head.Add(kPeerPrefixField, prefix);
  request.m_head.Add(kPeerAfterField, Concat(after));
  request.m_head.Add(kPeerPatienceField, Concat(wait.count()));
  const Result<WholeResponse> response = co_await Call(
      watcher, std::move(request), MonotonicNow() + wait + kChangesSlack);
  std::optional<KvChanges> changes;
  if (response && response->m_head.m_status == kOkStatus) {
    changes = DecodeChanges(response->m_body);
  }
  if (changes) {
    co_return *std::move(changes);
  }
  m_failed_watchers[watcher] = MonotonicNow() + kWatcherPause;
  Log(Severity::kInfo, LogPart::kStore, "A watcher didn't tell of changes.",
      {{"vm", watcher},
       {"prefix", prefix},
       {"after", after},
       {"reason", response ? Concat("status ", response->m_head.m_status)
                           : response.error().m_message}});
  co_return Fail(ResultCode::kPeerUnavailable, "the watcher didn't answer");
}

bool PeerCalls::CanRelay() const {
  return !RelayPeers().empty();
}

Task<Result<KvReply>> PeerCalls::Relay(KvCall call, Millis deadline) {
  const Millis now = MonotonicNow();
  std::vector<std::string> peers = RelayPeers();
  std::shuffle(peers.begin(), peers.end(), ThreadRandom());
  const auto last = std::find(peers.begin(), peers.end(), m_relay_peer);
  if (last != peers.end()) {
    std::iter_swap(peers.begin(), last);
  }
  // A watch is not tried at a second peer: whatever ended it, the caller pauses
  // before the next one.
  const bool is_long = deadline - now > kRelayTimeout * 2;
  peers.resize(std::min(peers.size(), is_long ? size_t{1} : kMostRelays));
  // A call that a peer may have passed on counts as sent.
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
    if (!response) {
      run = response.error().m_run == RunState::kUnknown ? RunState::kUnknown
                                                         : run;
      continue;
    }
    const std::optional<int64_t> status =
        ParseDecimal(response->m_head.Find(kPeerStatusField));
    if (response->m_head.m_status != kOkStatus || !status) {
      run = response->m_head.Find(kPeerRunField) ==
                    RunStateName(RunState::kUnknown)
                ? RunState::kUnknown
                : run;
      continue;
    }
    m_relay_peer = peer;
    KvReply reply;
    reply.m_status = static_cast<int>(*status);
    reply.m_body = std::move(response->m_body);
    co_return reply;
  }
  Error error;
  error.m_code = ResultCode::kStoreUnavailable;
  error.m_message = "no peer reaches the store";
  error.m_run = run;
  co_return tl::unexpected<Error>(error);
}

}  // namespace bronzecross
