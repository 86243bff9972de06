#include "limits/limiter.h"

#include <algorithm>

#include <absl/time/time.h>

#include "base/log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "peers/message.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kTick{20};
constexpr Millis kWaitStep{2};
constexpr Millis kFirstFill{200};
// A token must be handed out so soon after the clock was read for it. A VM
// paused in between could otherwise admit by an outdated right.
constexpr Millis kLongestDecision{5};
constexpr int kMostDecisions = 3;
// More requests than this do not wait for one workspace's loans.
constexpr int kMostWaiting = 64;
constexpr Millis kLongestRefusal{20};
constexpr Millis kShortestRefusal{2};

}  // namespace

Limiter::Limiter(LimiterOptions options,
                 ConfigHolder& config,
                 Membership& membership,
                 PeerServer& server,
                 KvClient& store,
                 std::function<KvLease()> lease)
    : m_options(std::move(options)),
      m_config(config),
      m_membership(membership),
      m_next_id(ThreadRandom()() >> 2) {
  if (m_options.m_mode == LimitMode::kStatic) {
    return;
  }
  m_keeper = std::make_unique<SlotKeeper>(m_options.m_slots, membership, server,
                                          store, std::move(lease));
  server.Register(
      "limits.borrow", PeerDispatch::kOnConnection,
      [this](std::string_view body, Millis) { return AnswerBorrow(body); });
}

Limiter::~Limiter() {
  Stop();
}

void Limiter::Start() {
  if (m_keeper != nullptr) {
    m_keeper->Start();
  }
  m_thread = std::thread([this] { Run(); });
}

void Limiter::Stop() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  if (m_thread.joinable()) {
    m_thread.join();
  }
  std::map<std::string, Peer> peers;
  {
    absl::MutexLock lock(&m_mutex);
    peers.swap(m_peers);
  }
  peers.clear();
  if (m_keeper != nullptr) {
    m_keeper->Stop();
  }
}

bool Limiter::IsReady() const {
  if (m_keeper == nullptr) {
    return true;
  }
  const Millis usable_since(m_usable_since_ms.load());
  const bool filled =
      usable_since != Millis(0) && MonotonicNow() - usable_since >= kFirstFill;
  return m_keeper->HasTable() && (!m_keeper->HoldsSlots() || filled);
}

json Limiter::Describe() const {
  return m_keeper == nullptr ? json("static") : m_keeper->Describe();
}

SlotShare Limiter::Share() const {
  if (m_keeper != nullptr) {
    return m_keeper->Share();
  }
  return {1.0 / static_cast<double>(m_membership.Known().size()), 1,
          Millis(INT64_MAX)};
}

void Limiter::Run() {
  while (true) {
    SyncPeers();
    NoteUsable();
    std::vector<std::pair<std::string, int64_t>> refused;
    bool stopping = false;
    {
      absl::MutexLock lock(&m_mutex);
      SyncConfig();
      const Millis now = MonotonicNow();
      for (auto& [name, workspace] : m_workspaces) {
        Update(workspace, now);
        WakeAhead(workspace, now);
        if (workspace.m_refused > 0) {
          refused.emplace_back(name, std::exchange(workspace.m_refused, 0));
        }
      }
      stopping = m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping),
                                          absl::Milliseconds(kTick.count()));
    }
    for (const auto& [name, count] : refused) {
      CountMetric("bronzecross_rate_limited_total", {{"workspace", name}},
                  static_cast<double>(count));
    }
    if (stopping) {
      return;
    }
  }
}

void Limiter::NoteUsable() {
  const Millis now = MonotonicNow();
  const SlotShare share = Share();
  if (share.m_share <= 0 || now >= share.m_usable_until) {
    m_usable_since_ms = 0;
  } else if (m_usable_since_ms == 0) {
    m_usable_since_ms = now.count();
  }
}

void Limiter::SyncPeers() {
  if (m_keeper == nullptr) {
    return;
  }
  const std::map<std::string, double> shares = m_keeper->PeerShares();
  absl::MutexLock lock(&m_mutex);
  // Links of VMs without slots are kept idle: such a VM usually comes back.
  for (auto& [vm, peer] : m_peers) {
    peer.m_share = 0;
  }
  for (const auto& [vm, share] : shares) {
    Peer& peer = m_peers[vm];
    peer.m_share = share;
    if (peer.m_link != nullptr) {
      continue;
    }
    std::shared_ptr<std::vector<std::pair<std::string, FleetLimit>>> limits =
        std::make_shared<std::vector<std::pair<std::string, FleetLimit>>>();
    LenderLinkHandlers handlers;
    handlers.m_make = [this, vm = vm, limits] {
      {
        absl::MutexLock inner(&m_mutex);
        limits->clear();
        for (const auto& [name, workspace] : m_workspaces) {
          limits->emplace_back(name, workspace.m_limit);
        }
      }
      return MakeBorrow(vm);
    };
    handlers.m_take = [this, vm = vm, limits](const json& answer, Millis sent) {
      TakeLoans(vm, *limits, answer, sent);
    };
    peer.m_link =
        std::make_unique<LenderLink>(m_membership, vm, std::move(handlers));
  }
}

void Limiter::SyncConfig() {
  const std::shared_ptr<const ConfigSnapshot> config = m_config.Get();
  if (config->Generation() == m_generation) {
    return;
  }
  m_generation = config->Generation();
  const Millis now = MonotonicNow();
  for (const WorkspaceSpec& spec : config->GetManifest().m_workspaces) {
    const FleetLimit limit{spec.m_rate_per_s, spec.m_burst};
    const auto [found, is_new] = m_workspaces.try_emplace(spec.m_name);
    Workspace& workspace = found->second;
    workspace.m_limit = limit;
    if (is_new) {
      // Full-rate refill starts here; an empty bucket is safe at any time.
      workspace.m_tokens.m_bucket.m_refilled = now;
      workspace.m_tokens.m_limit = limit;
    }
    Update(workspace, now);
  }
  std::erase_if(m_workspaces, [&](const auto& item) {
    return config->FindWorkspace(item.first) == nullptr &&
           item.second.m_tokens.m_waiting == 0;
  });
}

void Limiter::Update(Workspace& workspace, Millis now) {
  UpdateTokens(workspace.m_tokens, workspace.m_limit, Share(), now);
}

std::optional<TakenToken> Limiter::Take(Workspace& workspace) {
  for (int i = 0; i < kMostDecisions; ++i) {
    const Millis now = MonotonicNow();
    Update(workspace, now);
    std::optional<TakenToken> taken =
        TakeToken(workspace.m_tokens, m_next_id, now);
    if (!taken) {
      return taken;
    }
    ++m_next_id;
    const Millis used = MonotonicNow();
    if (used - now <= kLongestDecision && used < taken->m_valid_until) {
      return taken;
    }
    GiveBackToken(workspace.m_tokens, *taken);
  }
  return std::nullopt;
}

BorrowNeed Limiter::NeedOf(const Workspace& workspace, Millis now) const {
  const WorkspaceTokens& tokens = workspace.m_tokens;
  return {AvailableTokens(tokens, now), DemandAt(tokens.m_demand, now),
          tokens.m_waiting, LoanLifetime(tokens.m_limit)};
}

void Limiter::WakeAhead(const Workspace& workspace, Millis now) {
  if (AheadWant(NeedOf(workspace, now)) <= 0) {
    return;
  }
  for (auto& [vm, peer] : m_peers) {
    if (peer.m_share > 0) {
      peer.m_link->Wake(false);
    }
  }
}

Result<Admission> Limiter::Admit(const WorkspaceSpec& workspace) {
  absl::MutexLock lock(&m_mutex);
  SyncConfig();
  const auto found = m_workspaces.find(workspace.m_name);
  if (found == m_workspaces.end()) {
    return Fail(ResultCode::kInvalidKey, "the key's workspace does not exist");
  }
  Workspace& state = found->second;
  const Millis now = MonotonicNow();
  CountArrival(state.m_tokens.m_demand, now);
  std::optional<TakenToken> taken = Take(state);
  if (taken) {
    WakeAhead(state, now);
  } else if (m_keeper != nullptr && now >= state.m_refuse_until &&
             state.m_tokens.m_waiting < kMostWaiting) {
    taken = WaitForLoan(state);
  }
  if (!taken) {
    return tl::unexpected<Error>(Refuse(state));
  }
  return Admission(*this, found->first, std::move(*taken));
}

std::optional<TakenToken> Limiter::WaitForLoan(Workspace& workspace) {
  ++workspace.m_tokens.m_waiting;
  ++workspace.m_waits;
  const Millis deadline = MonotonicNow() + m_options.m_borrow_wait;
  std::map<std::string, int64_t> tickets;
  for (auto& [vm, peer] : m_peers) {
    if (peer.m_share > 0) {
      tickets[vm] = peer.m_link->Wake(true);
    }
  }
  std::optional<TakenToken> taken;
  bool answered = false;
  while (!taken && !answered && !m_stopping && MonotonicNow() < deadline) {
    m_changed.WaitWithTimeout(&m_mutex, absl::Milliseconds(kWaitStep.count()));
    // Read before the attempt, so that the last answer's tokens are tried.
    answered =
        std::all_of(tickets.begin(), tickets.end(), [&](const auto& ticket) {
          const auto peer = m_peers.find(ticket.first);
          return peer == m_peers.end() ||
                 peer->second.m_link->IsAnswered(ticket.second);
        });
    taken = Take(workspace);
  }
  --workspace.m_tokens.m_waiting;
  if (!taken) {
    const Millis next(static_cast<int64_t>(
        500.0 / std::max(workspace.m_limit.m_rate_per_s, 0.001)));
    workspace.m_refuse_until =
        MonotonicNow() + std::clamp(next, kShortestRefusal, kLongestRefusal);
  }
  return taken;
}

Error Limiter::Refuse(Workspace& workspace) {
  ++workspace.m_refused;
  const Millis wait =
      TimeUntil(workspace.m_tokens.m_bucket, workspace.m_limit.m_rate_per_s, 1);
  return {ResultCode::kRateLimited, "the workspace is over its rate and burst",
          RunState::kNotRun, std::max(wait, Millis(1))};
}

void Limiter::Settle(const std::string& name,
                     const TakenToken& token,
                     bool ran) {
  absl::MutexLock lock(&m_mutex);
  const auto found = m_workspaces.find(name);
  if (found == m_workspaces.end()) {
    return;
  }
  if (ran) {
    SpendToken(found->second.m_tokens, token);
  } else {
    GiveBackToken(found->second.m_tokens, token);
  }
}

double Limiter::Believed(const Workspace& workspace,
                         const std::string& vm,
                         double share,
                         Millis now) const {
  const FleetLimit& limit = workspace.m_limit;
  const double capacity = FleetCapacity(limit) * share;
  const auto belief = workspace.m_beliefs.find(vm);
  if (belief == workspace.m_beliefs.end()) {
    return capacity;
  }
  return std::min(capacity, belief->second.m_tokens +
                                limit.m_rate_per_s * share *
                                    (now - belief->second.m_at).Seconds());
}

double Limiter::AskOf(const Workspace& workspace,
                      const std::string& vm,
                      Millis now) {
  const BorrowNeed need = NeedOf(workspace, now);
  const double ahead = AheadWant(need);
  const double urgent = UrgentWant(need);
  if (ahead <= 0 && urgent <= 0) {
    return 0;
  }
  std::vector<double> believed;
  size_t index = 0;
  for (const auto& [id, peer] : m_peers) {
    if (id == vm) {
      index = believed.size();
    }
    believed.push_back(
        peer.m_share > 0 ? Believed(workspace, id, peer.m_share, now) : 0);
  }
  return believed.empty() ? 0 : SplitWant(ahead, urgent, believed)[index];
}

json Limiter::MakeBorrow(const std::string& vm) {
  json wanted = json::array();
  json returned = json::array();
  absl::MutexLock lock(&m_mutex);
  const Millis now = MonotonicNow();
  for (auto& [name, workspace] : m_workspaces) {
    const double asked = AskOf(workspace, vm, now);
    if (asked >= 0.01) {
      wanted.push_back(
          {name, asked, DemandAt(workspace.m_tokens.m_demand, now)});
    }
    for (const Loan& loan : TakeSurplus(workspace.m_tokens, vm, now)) {
      returned.push_back({name, loan.m_id, loan.m_tokens});
    }
  }
  if (wanted.empty() && returned.empty()) {
    return nullptr;
  }
  return {{"want", std::move(wanted)}, {"back", std::move(returned)}};
}

void Limiter::TakeLoans(
    const std::string& vm,
    const std::vector<std::pair<std::string, FleetLimit>>& limits,
    const json& answer,
    Millis sent) {
  absl::MutexLock lock(&m_mutex);
  const Millis now = MonotonicNow();
  if (answer.is_null()) {
    for (auto& [name, workspace] : m_workspaces) {
      workspace.m_beliefs[vm] = {0, now};
    }
    return;
  }
  try {
    for (const json& item : answer.at("loans")) {
      const std::string name = item.at(0);
      const auto found = m_workspaces.find(name);
      const auto limit =
          std::find_if(limits.begin(), limits.end(),
                       [&](const auto& entry) { return entry.first == name; });
      if (found == m_workspaces.end() || limit == limits.end()) {
        continue;
      }
      AddLoan(found->second.m_tokens, item.at(1), vm, item.at(2), sent,
              limit->second, now);
      found->second.m_beliefs[vm] = {item.at(3), now};
    }
  } catch (const json::exception& error) {
    Log(Severity::kWarning, LogPart::kLimits, "Dropped a damaged loan.",
        {{"vm", vm}, {"error", error.what()}});
  }
  m_changed.SignalAll();
}

Result<std::string> Limiter::AnswerBorrow(std::string_view body) {
  const Result<json> message = DecodeMessage(body);
  if (!message) {
    return tl::unexpected<Error>(message.error());
  }
  json loans = json::array();
  absl::MutexLock lock(&m_mutex);
  SyncConfig();
  const Millis now = MonotonicNow();
  try {
    for (const json& item : message->at("back")) {
      const auto found = m_workspaces.find(item.at(0).get<std::string>());
      if (found != m_workspaces.end()) {
        Update(found->second, now);
        GiveBackTokens(found->second.m_tokens.m_bucket, item.at(1), item.at(2));
      }
    }
    for (const json& item : message->at("want")) {
      const auto found = m_workspaces.find(item.at(0).get<std::string>());
      if (found == m_workspaces.end()) {
        continue;
      }
      Workspace& workspace = found->second;
      Update(workspace, now);
      const uint64_t id = m_next_id++;
      const double amount =
          LendTokens(workspace.m_tokens, id, {item.at(1), item.at(2)}, now);
      const double left =
          DecideLoan({1e9, item.at(2)}, workspace.m_tokens.m_bucket.m_tokens,
                     DemandAt(workspace.m_tokens.m_demand, now), 0);
      loans.push_back({found->first, id, amount, left});
    }
  } catch (const json::exception&) {
    return Fail(ResultCode::kMalformedBody, "the request for loans is damaged");
  }
  // A right that ran out while this VM was paused in here must not lend.
  if (MonotonicNow() - now > kLongestDecision) {
    return Fail(ResultCode::kOverloaded, "the loan took too long to decide");
  }
  return EncodeMessage({{"loans", std::move(loans)}});
}

}  // namespace bronzecross
