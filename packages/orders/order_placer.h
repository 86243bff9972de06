// Places orders on the upstreams of the halves that this VM serves. Of all VMs
// of a half one holds the right, by a record in the store.

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
  // Between two looks at the store, with and without loads under way.
  Millis m_busy_interval{250};
  Millis m_idle_interval{1000};
  // The longest that one order can be under way.
  Millis m_order_timeout{1000};
};

struct OrderPlacerHooks {
  // This VM's lease in the store; id 0: none.
  std::function<KvLease()> m_lease;
  // Requests in flight on an upstream, over all VMs.
  std::function<int64_t(const std::string&)> m_in_flight;
};

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

  // Whether the upstream gets no new request now: it is about to load, loads,
  // or moved to this VM's half a moment ago. Thread-safe.
  bool IsBlocked(const std::string& upstream) const;

 private:
  // A half's record as last read, and what this VM knows of its holder.
  struct HalfState {
    std::optional<OrderRecord> m_record;
    int64_t m_revision = 0;
    bool m_holder_has_lease = false;
    Millis m_gone_since;
    // When each load's upstream was first seen blocked by this holder.
    std::map<std::string, Millis> m_blocked_since;
    std::set<std::string> m_fenced;
    // When replicas are next looked at for loads to plan.
    Millis m_next_plan;
  };

  void Run();
  void RunOnce();
  bool IsBusy() const;
  void FollowMoves(const ConfigSnapshot& config);
  std::vector<std::string> ServedHalves(const Manifest& manifest) const;
  bool IsFirst(const std::string& half) const;
  bool ReadRecords();
  void ServeHalf(const std::string& half, const ConfigSnapshot& config);
  bool WriteRecord(const std::string& half,
                   const OrderRecord& record,
                   bool check_other_halves = false);
  std::string KeyOf(const std::string& half) const;
  void Claim(const std::string& half);
  bool MayOrderMoved(const std::string& half, int64_t halves_generation);
  void FenceUpstreams(const std::string& half, const Manifest& manifest);
  void AdvanceLoads(const std::string& half, const Manifest& manifest);
  bool AdvanceLoad(HalfState& state,
                   const std::string& half,
                   const ModelLoad& load,
                   const UpstreamSpec& upstream);
  void PlanNewLoads(const std::string& half, const Manifest& manifest);
  bool MaySend() const;

  nlohmann::json MakeSection();
  void TakeSection(const std::string& from, const nlohmann::json& section);

  const OrderPlacerOptions m_options;
  const OrderPlacerHooks m_hooks;
  ConfigHolder& m_config;
  Membership& m_membership;
  KvClient& m_store;
  HttpClient m_http;
  // The next three are used by the placer's thread only.
  // This VM's lease when the present round began. Orders of the round are sent
  // under no other one: what was read before a lapse may be outdated.
  int64_t m_round_lease = 0;
  std::map<std::string, HalfState> m_states;
  std::map<std::string, std::string> m_last_halves;

  struct Told {
    std::set<std::string> m_halves;
    std::set<std::string> m_blocked;
    Millis m_at;
  };
  mutable absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::set<std::string> m_own_blocked ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, Millis> m_moved_until ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, Told> m_told ABSL_GUARDED_BY(m_mutex);
  std::thread m_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_ORDERS_ORDER_PLACER_H_
