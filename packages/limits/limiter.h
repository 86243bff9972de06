// Admits requests within their workspace's rate and burst over all VMs
// together, by slots with lending (docs/limits.md).

#ifndef BRONZECROSS_LIMITS_LIMITER_H_
#define BRONZECROSS_LIMITS_LIMITER_H_

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "config/config_holder.h"
#include "limits/admission.h"
#include "limits/lender_link.h"
#include "limits/limiter_options.h"
#include "limits/slot_manager.h"
#include "limits/workspace_tokens.h"
#include "membership/membership.h"

namespace bronzecross {

class Limiter {
 public:
  // `lease` gives this VM's lease in the store; id 0: none.
  Limiter(LimiterOptions options,
          ConfigHolder& config,
          Membership& membership,
          PeerServer& server,
          KvClient& store,
          std::function<KvLease()> lease);
  ~Limiter();

  void Start();
  // Hands this VM's slots over. Call when no more requests come.
  void Stop();

  // Takes one token of `workspace`; waits for a loan if there is none here.
  // Fails with kRateLimited (not run) and the time after which a retry can
  // succeed. The limit is that of the manifest in force. Thread-safe.
  Result<Admission> Admit(const WorkspaceSpec& workspace);

  // Whether this VM has had slots with tokens, or a table to borrow by. Before
  // that it refuses requests that are within their workspace's limit.
  bool IsReady() const;
  nlohmann::json Describe() const;

 private:
  friend class Admission;
  // What a peer is believed to have for a workspace.
  struct Belief {
    double m_tokens = 0;
    Millis m_at;
  };
  struct Workspace {
    FleetLimit m_limit;
    WorkspaceTokens m_tokens;
    // Until then requests are refused without asking other VMs again.
    Millis m_refuse_until;
    int64_t m_refused = 0;
    int64_t m_waits = 0;
    std::map<std::string, Belief> m_beliefs;
  };
  struct Peer {
    double m_share = 0;
    std::unique_ptr<LenderLink> m_link;
  };

  void Settle(const std::string& name, const TakenToken& token, bool ran);
  void Run();
  void UpdateReady();
  void SyncPeers();
  void SyncConfig() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  SlotShare Share() const;
  void Update(Workspace& workspace, Millis now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  std::optional<TakenToken> Take(Workspace& workspace)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  // Whether this VM and its peers are believed to have a whole token together.
  // Fractions that do not make one up would be borrowed in vain.
  bool MayFindToken(const Workspace& workspace, Millis now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  std::optional<TakenToken> WaitForLoan(Workspace& workspace)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void WakeAhead(const Workspace& workspace, Millis now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  BorrowNeed NeedOf(const Workspace& workspace, Millis now) const;
  Error Refuse(Workspace& workspace) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  double Believed(const Workspace& workspace,
                  const std::string& vm,
                  double share,
                  Millis now) const;
  double AskOf(const Workspace& workspace, const std::string& vm, Millis now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  nlohmann::json MakeBorrow(const std::string& vm);
  void TakeLoans(const std::string& vm,
                 const std::vector<std::pair<std::string, FleetLimit>>& limits,
                 const nlohmann::json& answer,
                 Millis sent);
  Result<std::string> AnswerBorrow(std::string_view body);

  const LimiterOptions m_options;
  ConfigHolder& m_config;
  Membership& m_membership;
  std::unique_ptr<SlotKeeper> m_keeper;  // null in static mode
  const Millis m_started = MonotonicNow();
  std::atomic<bool> m_ready = false;
  // Since when the slots are usable; zero: they are not. For UpdateReady().
  Millis m_usable_since;

  mutable absl::Mutex m_mutex;
  absl::CondVar m_changed;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  int64_t m_generation ABSL_GUARDED_BY(m_mutex) = 0;
  // Of reservations; starts at random, so that another run's ids differ.
  uint64_t m_next_id ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, Workspace, std::less<>> m_workspaces
      ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, Peer> m_peers ABSL_GUARDED_BY(m_mutex);
  std::thread m_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_LIMITER_H_
