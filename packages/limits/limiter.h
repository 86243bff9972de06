// Admits requests within the rate and burst that their workspace has over all
// VMs together. VMs hold slots of each limit and lend tokens to each other
// (docs/limits.md).

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
  // `lease` returns this VM's lease in the store, with id 0 if it has none.
  Limiter(LimiterOptions options,
          ConfigHolder& config,
          Membership& membership,
          PeerServer& server,
          KvClient& store,
          std::function<KvLease()> lease);
  ~Limiter();

  void Start();
  // Hands this VM's slots over to other VMs. Call it when no more requests
  // arrive.
  void Stop();

  // Takes one token of `workspace`. Waits for a loan if this VM has none. Fails
  // with kRateLimited (not run) and a retry-after time. Applies the limit of
  // the current manifest. Thread-safe.
  Result<Admission> Admit(const WorkspaceSpec& workspace);

  // Whether this VM has had usable slots with tokens, or a slot table that
  // names lenders. Until then it rejects requests that are within their
  // workspace's limit.
  bool IsReady() const;
  nlohmann::json Describe() const;

 private:
  friend class Admission;
  // Tokens that a peer had for a workspace at m_at.
  struct TokenEstimate {
    double m_tokens = 0;
    Millis m_at;
  };
  struct Workspace {
    FleetLimit m_limit;
    WorkspaceTokens m_tokens;
    // Until this time, requests are rejected without requesting loans again.
    Millis m_reject_until;
    int64_t m_rejected = 0;
    int64_t m_waits = 0;
    std::map<std::string, TokenEstimate> m_estimates;
  };
  struct Peer {
    double m_share = 0;
    std::unique_ptr<LenderLink> m_link;
  };

  void FinishAdmission(const std::string& name,
                       const TakenToken& token,
                       bool ran);
  void Run();
  void UpdateReady();
  void SyncPeers();
  void SyncConfig() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  SlotShare Share() const;
  void Update(Workspace& workspace, Millis now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  std::optional<TakenToken> Take(Workspace& workspace)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  // Whether this VM and its peers together are estimated to have a whole token.
  // Borrowing smaller fractions would not admit a request.
  bool MayFindToken(const Workspace& workspace, Millis now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  std::optional<TakenToken> WaitForLoan(Workspace& workspace)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void RequestPrefetch(const Workspace& workspace, Millis now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  BorrowNeed ComputeBorrowNeed(const Workspace& workspace, Millis now) const;
  Error Reject(Workspace& workspace) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  double EstimateTokens(const Workspace& workspace,
                        const std::string& vm,
                        double share,
                        Millis now) const;
  double BorrowAmount(const Workspace& workspace,
                      const std::string& vm,
                      Millis now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  nlohmann::json MakeBorrowRequest(const std::string& vm);
  void OnBorrowReply(
      const std::string& vm,
      const std::vector<std::pair<std::string, FleetLimit>>& limits,
      const nlohmann::json& reply,
      Millis sent);
  Result<std::string> HandleBorrowRequest(std::string_view body);

  const LimiterOptions m_options;
  ConfigHolder& m_config;
  Membership& m_membership;
  std::unique_ptr<SlotManager> m_slot_manager;  // null in static mode
  const Millis m_started = MonotonicNow();
  std::atomic<bool> m_ready = false;
  // Since when the slots are usable; zero: they are not. Used by UpdateReady().
  Millis m_usable_since;

  mutable absl::Mutex m_mutex;
  absl::CondVar m_changed;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  int64_t m_generation ABSL_GUARDED_BY(m_mutex) = 0;
  // Next reservation id. Starts at random, so that ids differ from those of
  // other runs.
  uint64_t m_next_id ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, Workspace, std::less<>> m_workspaces
      ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, Peer> m_peers ABSL_GUARDED_BY(m_mutex);
  std::thread m_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_LIMITER_H_
