// Places orders on the upstreams of the halves (partitions of the upstreams)
// that this VM serves. Of the VMs that serve a half, the one that holds the
// half's record in the store places its orders.

#ifndef BRONZECROSS_ORDERS_ORDER_PLACER_H_
#define BRONZECROSS_ORDERS_ORDER_PLACER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "config/config_holder.h"
#include "http/http_client.h"
#include "membership/membership.h"
#include "orders/order_claim.h"
#include "orders/order_record.h"
#include "orders/plan_loads.h"
#include "store/kv_client.h"

namespace bronzecross {

struct OrderPlacerOptions {
  // The halves that this VM serves; empty: all that the manifest names.
  std::vector<std::string> m_halves;
  std::string m_store_prefix;
  // Interval between two rounds, with and without loads or a split of the
  // halves in progress.
  Millis m_busy_interval{250};
  Millis m_idle_interval{1000};
  // The longest time that one order can be under way.
  Millis m_order_timeout{1000};
};

struct OrderPlacerHooks {
  // Returns this VM's lease in the store; id 0 if it has none.
  std::function<KvLease()> m_lease;
  // Returns the requests in flight on an upstream, over all VMs.
  std::function<int64_t(const std::string&)> m_in_flight;
};

// Runs one thread, which sends all orders of this VM.
class OrderPlacer {
 public:
  OrderPlacer(OrderPlacerOptions options,
              OrderPlacerHooks hooks,
              ConfigHolder& config,
              Membership& membership,
              KvClient& store);
  ~OrderPlacer();
  OrderPlacer(const OrderPlacer&) = delete;
  OrderPlacer& operator=(const OrderPlacer&) = delete;

  void Start();
  void Stop();

  // Returns whether the upstream gets no new requests now, because a load is
  // planned or in progress or it has just moved to this VM's half. Thread-safe.
  bool IsBlocked(const std::string& upstream) const;

 private:
  // A half's record as last read, and the state of its holder.
  struct HalfState {
    std::optional<OrderRecord> m_record;
    int64_t m_revision = 0;
    // Whether the holder still has the lease that the record names.
    bool m_holder_has_lease = false;
    // When this VM first saw that the holder's lease had ended.
    Millis m_lease_lost_since;
    // When this holder began to block the upstream of each load.
    std::map<std::string, Millis> m_blocked_since;
    // Engines that have received this holder's fencing token.
    std::set<std::string> m_fenced;
    // When new loads are next planned.
    Millis m_next_plan;
  };

  void Run();
  void RunOnce();
  bool IsBusy() const;
  // Blocks upstreams that have moved to this VM's halves for kMoveGrace.
  void DetectMovedUpstreams(const ConfigSnapshot& config);
  std::vector<std::string> ServedHalves(const Manifest& manifest) const;
  // Returns whether this VM ranks first by rendezvous hash among the live VMs
  // that serve the half and are not draining.
  bool IsFirst(const std::string& half) const;
  // Reads all halves' records and whether their holders have their leases.
  // Fails if the store is unreachable.
  bool ReadRecords();
  void ServeHalf(const std::string& half, const ConfigSnapshot& config);
  bool WriteRecord(const std::string& half,
                   const OrderRecord& record,
                   bool check_other_halves = false);
  std::string KeyOf(const std::string& half) const;
  void Claim(const std::string& half);
  // Returns whether the other halves have released the upstreams that moved to
  // `half` in generation `halves_generation`.
  bool MayOrderMovedUpstreams(const std::string& half,
                              int64_t halves_generation);
  void FenceUpstreams(const std::string& half, const Manifest& manifest);
  void AdvanceLoads(const std::string& half, const Manifest& manifest);
  bool AdvanceLoad(HalfState& state,
                   const std::string& half,
                   const ModelLoad& load,
                   const UpstreamSpec& upstream);
  void PlanNewLoads(const std::string& half, const Manifest& manifest);
  // Returns whether an order sent now would end before the lease of this round.
  bool MaySend() const;

  nlohmann::json MakeSection();
  void ApplySection(const std::string& from, const nlohmann::json& section);

  const OrderPlacerOptions m_options;
  const OrderPlacerHooks m_hooks;
  ConfigHolder& m_config;
  Membership& m_membership;
  KvClient& m_store;
  HttpClient m_http;
  // The next three are used by the placer's thread only.
  // This VM's lease when the current round began. Orders of the round are sent
  // only under this lease, as the state read in the round may be outdated once
  // the lease has ended.
  int64_t m_round_lease = 0;
  std::map<std::string, HalfState> m_states;
  // The half of each upstream in the previous round.
  std::map<std::string, std::string> m_last_halves;

  // Latest heartbeat section of another VM: the halves that it serves, empty
  // for all, and the upstreams that it blocks.
  struct PeerReport {
    std::set<std::string> m_halves;
    std::set<std::string> m_blocked;
    Millis m_received_at;
  };
  mutable absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  // Upstreams that this VM blocks because of their loads.
  std::set<std::string> m_own_blocked ABSL_GUARDED_BY(m_mutex);
  // Until when each upstream that moved to this VM's halves gets no requests.
  std::map<std::string, Millis> m_moved_until ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, PeerReport> m_peer_reports ABSL_GUARDED_BY(m_mutex);
  std::thread m_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_ORDERS_ORDER_PLACER_H_
