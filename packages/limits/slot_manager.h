// Keeps this VM's view of the slot table: its right to its slots, reports of
// silent holders, takeover, and handing slots to new VMs.

#ifndef BRONZECROSS_LIMITS_SLOT_MANAGER_H_
#define BRONZECROSS_LIMITS_SLOT_MANAGER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include "limits/slot_validity.h"
#include "limits/workspace_tokens.h"
#include "membership/membership.h"
#include "store/kv_client.h"

namespace bronzecross {

struct SlotKeeperOptions {
  std::string m_store_prefix = "/bronzecross/";
  // Number of slots of a new table.
  int64_t m_slots = 24;
};

class SlotKeeper {
 public:
  // `lease` gives this VM's lease in the store; id 0: none.
  SlotKeeper(SlotKeeperOptions options,
             Membership& membership,
             PeerServer& server,
             KvClient& store,
             std::function<KvLease()> lease);
  ~SlotKeeper();

  void Start();
  // Hands this VM's slots over, if the store can be reached.
  void Stop();

  // This VM's slots and its right to them.
  SlotShare Share() const;
  // The share of each other VM that holds slots.
  std::map<std::string, double> PeerShares() const;
  bool HasTable() const;
  // Whether the table gives this run of the VM any slots.
  bool HoldsSlots() const;
  nlohmann::json Describe() const;

 private:
  // What is known of another VM's run.
  struct PeerState {
    SlotPeer m_peer;
    int64_t m_sequence = 0;
    Millis m_received;
    std::vector<SlotHolderId> m_ended;
  };

  nlohmann::json MakeSection();
  void TakeSection(const std::string& from, const nlohmann::json& section);

  void RunRight();
  void UpdateRight();
  void RunStore();
  void StoreStep(bool leaving);
  Status Register(const KvLease& lease);
  Status ReadTable() ABSL_LOCKS_EXCLUDED(m_mutex);
  void PullFromPeer();
  void FindEnded();
  void WriteTable(const TableChange& change,
                  const std::vector<SlotHolderId>& lost);
  bool IsMyTurn(Millis now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Install(const SlotTable& table, int64_t revision)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  std::vector<SlotPeer> Peers(Millis now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  bool WaitStopped(Millis duration);
  std::string HolderKey(const SlotHolderId& id) const;

  const SlotKeeperOptions m_options;
  const std::string m_table_key;
  Membership& m_membership;
  KvClient& m_store;
  const std::function<KvLease()> m_lease;
  const SlotHolderId m_self;
  const Millis m_started = MonotonicNow();

  mutable absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  SlotTable m_table ABSL_GUARDED_BY(m_mutex);
  // The table's revision in the store; 0: this version came from a peer.
  int64_t m_revision ABSL_GUARDED_BY(m_mutex) = 0;
  // Slots not to be used until a version above m_withheld_version is known:
  // they are being given up by a write whose outcome is open.
  int64_t m_withheld ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_withheld_version ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_registered_lease ABSL_GUARDED_BY(m_mutex) = 0;
  Millis m_usable_until ABSL_GUARDED_BY(m_mutex);
  // Since when m_table is settled; zero: it is not.
  Millis m_settled_since ABSL_GUARDED_BY(m_mutex);
  // Since when this VM sees a change to make; zero: none.
  Millis m_change_due ABSL_GUARDED_BY(m_mutex);
  std::set<SlotHolderId> m_reported ABSL_GUARDED_BY(m_mutex);
  // Holders whose lease this VM saw ended in the store.
  std::vector<SlotHolderId> m_ended ABSL_GUARDED_BY(m_mutex);
  Millis m_ended_checked ABSL_GUARDED_BY(m_mutex);
  // Since when a majority reports a holder silent under m_table.
  std::map<SlotHolderId, Millis> m_lost_since ABSL_GUARDED_BY(m_mutex);
  std::map<SlotHolderId, Millis> m_heard ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, PeerState> m_peers ABSL_GUARDED_BY(m_mutex);
  int64_t m_sequence ABSL_GUARDED_BY(m_mutex) = 0;
  std::thread m_right_thread;
  std::thread m_store_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_SLOT_MANAGER_H_
