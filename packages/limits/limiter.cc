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

constexpr Millis kUpdateInterval{20};
// Time after which a VM with usable slots is ready. Its buckets hold some
// tokens by then.
constexpr Millis kReadyAfterUsable{60};
// Time after its start at which a VM without slots, which only borrows, is
// ready.
constexpr Millis kReadyWithoutSlotsAfter{3000};
constexpr Millis kWaitPollInterval{2};
// Maximum time between reading the clock for a decision and acting on it. A VM
// that is paused in between could otherwise use slots that it no longer holds.
constexpr Millis kMaxDecisionTime{5};
constexpr int kMaxTakeAttempts = 3;
// Maximum number of requests that wait for loans of one workspace.
constexpr int kMaxWaitingRequests = 64;
constexpr Millis kMaxRejectTime{20};
constexpr Millis kMinRejectTime{2};

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
  m_slot_manager = std::make_unique<SlotManager>(
      m_options.m_slots, membership, server, store, std::move(lease));
  server.Register("limits.borrow", PeerDispatch::kOnConnection,
                  [this](std::string_view body, Millis) {
                    return HandleBorrowRequest(body);
                  });
}

Limiter::~Limiter() {
  Stop();
}

void Limiter::Start() {
  if (m_slot_manager != nullptr) {
    m_slot_manager->Start();
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
  if (m_slot_manager != nullptr) {
    m_slot_manager->Stop();
  }
}

bool Limiter::IsReady() const {
  return m_slot_manager == nullptr || m_ready;
}

json Limiter::Describe() const {
  return m_slot_manager == nullptr ? json("static")
                                   : m_slot_manager->Describe();
}

SlotShare Limiter::Share() const {
  if (m_slot_manager != nullptr) {
    return m_slot_manager->Share();
  }
  return {1.0 / static_cast<double>(m_membership.Known().size()), 1,
          Millis(INT64_MAX)};
}

void Limiter::Run() {
  while (true) {
    SyncPeers();
    UpdateReady();
    std::vector<std::pair<std::string, int64_t>> rejected;
    bool stopping = false;
    {
      absl::MutexLock lock(&m_mutex);
      SyncConfig();
      const Millis now = MonotonicNow();
      for (auto& [name, workspace] : m_workspaces) {
        Update(workspace, now);
        RequestPrefetch(workspace, now);
        if (workspace.m_rejected > 0) {
          rejected.emplace_back(name, std::exchange(workspace.m_rejected, 0));
        }
      }
      stopping =
          m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping),
                                   absl::Milliseconds(kUpdateInterval.count()));
    }
    for (const auto& [name, count] : rejected) {
      CountMetric("bronzecross_rate_limited_total", {{"workspace", name}},
                  static_cast<double>(count));
    }
    if (stopping) {
      return;
    }
  }
}

void Limiter::UpdateReady() {
  if (m_ready || m_slot_manager == nullptr) {
    return;
  }
  const Millis now = MonotonicNow();
  const SlotShare slots = m_slot_manager->Share();
  if (slots.m_share <= 0 || now >= slots.m_usable_until) {
    m_usable_since = Millis(0);
  } else if (m_usable_since == Millis(0)) {
    m_usable_since = now;
  }
  m_ready = (m_usable_since != Millis(0) &&
             now - m_usable_since >= kReadyAfterUsable) ||
            (m_slot_manager->HasTable() &&
             now - m_started >= kReadyWithoutSlotsAfter);
}

void Limiter::SyncPeers() {
  if (m_slot_manager == nullptr) {
    return;
  }
  const std::map<std::string, double> shares = m_slot_manager->PeerShares();
  absl::MutexLock lock(&m_mutex);
  // Links to VMs without slots stay idle: such a VM usually holds slots again
  // later.
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
    handlers.m_make_request = [this, vm = vm, limits] {
      {
        absl::MutexLock inner(&m_mutex);
        limits->clear();
        for (const auto& [name, workspace] : m_workspaces) {
          limits->emplace_back(name, workspace.m_limit);
        }
      }
      return MakeBorrowRequest(vm);
    };
    handlers.m_on_reply = [this, vm = vm, limits](const json& reply,
                                                  Millis sent) {
      OnBorrowReply(vm, *limits, reply, sent);
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
      // The refill at the full rate starts now. An empty bucket can't exceed
      // the limit.
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
  for (int i = 0; i < kMaxTakeAttempts; ++i) {
    const Millis now = MonotonicNow();
    Update(workspace, now);
    std::optional<TakenToken> taken =
        TakeToken(workspace.m_tokens, m_next_id, now);
    if (!taken) {
      return taken;
    }
    ++m_next_id;
    const Millis decided = MonotonicNow();
    if (decided - now <= kMaxDecisionTime && decided < taken->m_valid_until) {
      return taken;
    }
    GiveBackToken(workspace.m_tokens, *taken);
  }
  return std::nullopt;
}

BorrowNeed Limiter::ComputeBorrowNeed(const Workspace& workspace,
                                      Millis now) const {
  const WorkspaceTokens& tokens = workspace.m_tokens;
  return {AvailableTokens(tokens, now), DemandAt(tokens.m_demand, now),
          tokens.m_waiting, LoanLifetime(tokens.m_limit)};
}

void Limiter::RequestPrefetch(const Workspace& workspace, Millis now) {
  if (TokensToPrefetch(ComputeBorrowNeed(workspace, now)) <= 0) {
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
    RequestPrefetch(state, now);
  } else if (m_slot_manager != nullptr && now >= state.m_reject_until &&
             state.m_tokens.m_waiting < kMaxWaitingRequests &&
             MayFindToken(state, now)) {
    taken = WaitForLoan(state);
  }
  if (!taken) {
    return tl::unexpected<Error>(Reject(state));
  }
  return Admission(*this, found->first, std::move(*taken));
}

bool Limiter::MayFindToken(const Workspace& workspace, Millis now) const {
  double tokens = AvailableTokens(workspace.m_tokens, now);
  for (const auto& [vm, peer] : m_peers) {
    tokens +=
        peer.m_share > 0 ? EstimateTokens(workspace, vm, peer.m_share, now) : 0;
  }
  return tokens >= 1;
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
  bool all_replied = false;
  while (!taken && !all_replied && !m_stopping && MonotonicNow() < deadline) {
    m_changed.WaitWithTimeout(&m_mutex,
                              absl::Milliseconds(kWaitPollInterval.count()));
    // Checked before Take(), so that the tokens of the last reply are used.
    all_replied =
        std::all_of(tickets.begin(), tickets.end(), [&](const auto& ticket) {
          const auto peer = m_peers.find(ticket.first);
          return peer == m_peers.end() ||
                 peer->second.m_link->IsFinished(ticket.second);
        });
    taken = Take(workspace);
  }
  --workspace.m_tokens.m_waiting;
  if (!taken) {
    const Millis next(static_cast<int64_t>(
        500.0 / std::max(workspace.m_limit.m_rate_per_s, 0.001)));
    workspace.m_reject_until =
        MonotonicNow() + std::clamp(next, kMinRejectTime, kMaxRejectTime);
  }
  return taken;
}

Error Limiter::Reject(Workspace& workspace) {
  ++workspace.m_rejected;
  const Millis wait =
      TimeUntil(workspace.m_tokens.m_bucket, workspace.m_limit.m_rate_per_s, 1);
  return {ResultCode::kRateLimited, "the workspace is over its rate and burst",
          RunState::kNotRun, std::max(wait, Millis(1))};
}

void Limiter::FinishAdmission(const std::string& name,
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

double Limiter::EstimateTokens(const Workspace& workspace,
                               const std::string& vm,
                               double share,
                               Millis now) const {
  const FleetLimit& limit = workspace.m_limit;
  const double capacity = FleetCapacity(limit) * share;
  const auto estimate = workspace.m_estimates.find(vm);
  if (estimate == workspace.m_estimates.end()) {
    return capacity;
  }
  return std::min(capacity, estimate->second.m_tokens +
                                limit.m_rate_per_s * share *
                                    (now - estimate->second.m_at).Seconds());
}

double Limiter::BorrowAmount(const Workspace& workspace,
                             const std::string& vm,
                             Millis now) {
  const BorrowNeed need = ComputeBorrowNeed(workspace, now);
  const double prefetch = TokensToPrefetch(need);
  const double urgent = TokensNeededNow(need);
  if (prefetch <= 0 && urgent <= 0) {
    return 0;
  }
  std::vector<double> estimated;
  size_t index = 0;
  for (const auto& [id, peer] : m_peers) {
    if (id == vm) {
      index = estimated.size();
    }
    estimated.push_back(peer.m_share > 0
                            ? EstimateTokens(workspace, id, peer.m_share, now)
                            : 0);
  }
  return estimated.empty()
             ? 0
             : SplitBorrowRequest(prefetch, urgent, estimated)[index];
}

json Limiter::MakeBorrowRequest(const std::string& vm) {
  json wanted = json::array();
  json returned = json::array();
  absl::MutexLock lock(&m_mutex);
  const Millis now = MonotonicNow();
  for (auto& [name, workspace] : m_workspaces) {
    const double requested = BorrowAmount(workspace, vm, now);
    if (requested >= 0.01) {
      wanted.push_back(
          {name, requested, DemandAt(workspace.m_tokens.m_demand, now)});
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

void Limiter::OnBorrowReply(
    const std::string& vm,
    const std::vector<std::pair<std::string, FleetLimit>>& limits,
    const json& reply,
    Millis sent) {
  absl::MutexLock lock(&m_mutex);
  const Millis now = MonotonicNow();
  if (reply.is_null()) {
    for (auto& [name, workspace] : m_workspaces) {
      workspace.m_estimates[vm] = {0, now};
    }
    return;
  }
  try {
    for (const json& item : reply.at("loans")) {
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
      found->second.m_estimates[vm] = {item.at(3), now};
    }
  } catch (const json::exception& error) {
    Log(Severity::kWarning, LogPart::kLimits,
        "Ignoring a malformed reply to a loan request.",
        {{"vm", vm}, {"error", error.what()}});
  }
  m_changed.SignalAll();
}

Result<std::string> Limiter::HandleBorrowRequest(std::string_view body) {
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
      loans.push_back(
          {found->first, id, amount, workspace.m_tokens.m_bucket.m_tokens});
    }
  } catch (const json::exception&) {
    return Fail(ResultCode::kMalformedBody, "the loan request is malformed");
  }
  // The right to use the slots may have expired if this VM was paused since
  // `now`, so the loans are not sent.
  if (MonotonicNow() - now > kMaxDecisionTime) {
    return Fail(ResultCode::kOverloaded, "the loan took too long to decide");
  }
  return EncodeMessage({{"loans", std::move(loans)}});
}

}  // namespace bronzecross
