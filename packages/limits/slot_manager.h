// Maintains this VM's view of the slot table: until when it may use its slots,
// reports of unresponsive holders, takeover of their slots, and handing slots
// over to new VMs.

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

struct SlotManagerOptions {
  std::string m_store_prefix = "/bronzecross/";
  // Number of slots of a new table.
  int64_t m_slots = 24;
};

class SlotManager {
 public:
  // `lease` returns this VM's lease in the store, with id 0 if it has none.
  SlotManager(SlotManagerOptions options,
              Membership& membership,
              PeerServer& server,
              KvClient& store,
              std::function<KvLease()> lease);
  ~SlotManager();

  void Start();
  // Hands this VM's slots over to other VMs if the store is reachable.
  void Stop();

  // Returns this VM's share of all slots and until when it may use them.
  SlotShare Share() const;
  // Returns the share of each other VM that holds slots.
  std::map<std::string, double> PeerShares() const;
  bool HasTable() const;
  // Whether the table gives this run of the VM any slots.
  bool HoldsSlots() const;
  nlohmann::json Describe() const;

 private:
  // State of another VM's run, as received through its heartbeats.
  struct PeerState {
    SlotPeer m_peer;
    int64_t m_sequence = 0;
    Millis m_received;
    std::vector<SlotHolderId> m_ended;
  };

  nlohmann::json MakeSection();
  void OnSection(const std::string& from, const nlohmann::json& section);

  void RunValidity();
  void UpdateValidity();
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

  const SlotManagerOptions m_options;
  const std::string m_table_key;
  Membership& m_membership;
  KvClient& m_store;
  const std::function<KvLease()> m_lease;
  const SlotHolderId m_self;
  const Millis m_started = MonotonicNow();

  mutable absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  SlotTable m_table ABSL_GUARDED_BY(m_mutex);
  // Revision of m_table in the store; 0: this version came from a peer.
  int64_t m_revision ABSL_GUARDED_BY(m_mutex) = 0;
  // Number of slots that this VM must not use until it knows a version above
  // m_withheld_version: a write whose outcome is unknown releases them.
  int64_t m_withheld ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_withheld_version ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_registered_lease ABSL_GUARDED_BY(m_mutex) = 0;
  Millis m_usable_until ABSL_GUARDED_BY(m_mutex);
  // Since when m_table is settled, see IsSettled(); zero: it is not.
  Millis m_settled_since ABSL_GUARDED_BY(m_mutex);
  // Since when this VM has had a table change to write; zero: none.
  Millis m_change_pending_since ABSL_GUARDED_BY(m_mutex);
  std::set<SlotHolderId> m_reported ABSL_GUARDED_BY(m_mutex);
  // Holders whose lease has ended according to the store.
  std::vector<SlotHolderId> m_ended ABSL_GUARDED_BY(m_mutex);
  Millis m_ended_checked ABSL_GUARDED_BY(m_mutex);
  // Since when a majority has reported a holder as unresponsive under m_table.
  std::map<SlotHolderId, Millis> m_lost_since ABSL_GUARDED_BY(m_mutex);
  std::map<SlotHolderId, Millis> m_last_seen ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, PeerState> m_peers ABSL_GUARDED_BY(m_mutex);
  int64_t m_sequence ABSL_GUARDED_BY(m_mutex) = 0;
  std::thread m_validity_thread;
  std::thread m_store_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_SLOT_MANAGER_H_
