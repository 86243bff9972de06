// Registry of the manifest's upstreams with their load and health, which picks
// an upstream for each request.

#ifndef BRONZECROSS_UPSTREAMS_UPSTREAM_REGISTRY_H_
#define BRONZECROSS_UPSTREAMS_UPSTREAM_REGISTRY_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "config/config_holder.h"
#include "http/http_client.h"
#include "membership/membership.h"
#include "upstreams/change_signal.h"
#include "upstreams/load_poller.h"
#include "upstreams/picked_upstream.h"
#include "upstreams/upstream_load.h"
#include "upstreams/upstream_section.h"

namespace bronzecross {

// Thread-safe.
class UpstreamRegistry {
 public:
  // `halves` are the halves (partitions of the upstreams) that this VM serves;
  // empty: all.
  UpstreamRegistry(ConfigHolder& config,
                   Membership& membership,
                   HttpClient& http,
                   std::vector<std::string> halves);
  ~UpstreamRegistry();
  UpstreamRegistry(const UpstreamRegistry&) = delete;
  UpstreamRegistry& operator=(const UpstreamRegistry&) = delete;

  void Start();
  void Stop();

  // Picks an upstream and logs the decision. Fails with kNoUpstream if no
  // upstream can serve the request, and with kOverloaded if those that can are
  // full now. In both cases the request was not run.
  Result<PickedUpstream> Pick(const UpstreamRequirements& requirements,
                              std::string_view request_id);

  // Picks the upstream `name` regardless of its load, for requests whose
  // upstream is already chosen, such as those of the batch dispatcher. Fails
  // with kNoUpstream (not run) if it is not usable.
  Result<PickedUpstream> PickNamed(std::string_view name,
                                   Priority priority,
                                   std::string_view request_id);

  // Reserves the least loaded upstream and waits until no other request runs on
  // it. Fails with kOverloaded (not run) at `deadline`.
  Result<PickedUpstream> PickExclusive(const UpstreamRequirements& requirements,
                                       std::string_view request_id,
                                       Millis deadline);

  // Records the outcome of a request; `failed` for a lost connection, a
  // time-out or a 5xx response.
  void ReportOutcome(std::string_view name, bool failed);

  // Opens the circuit breaker of an upstream that lost connections and fails
  // its health check.
  void ReportCrash(std::string_view name);

  // Records that a response arrived in full. The service time is learned from
  // it.
  void ReportResponse(const PickedUpstream& picked);

  // Sends no new requests to the upstream before `until`.
  void BackOff(std::string_view name, Millis until);

  // Sends no requests for `model` to the upstream before `until`.
  void ExcludeModel(std::string_view name,
                    std::string_view model,
                    Millis until);

  // Returns whether no other request was known to run on the upstream since
  // `picked`.
  bool RanAlone(const PickedUpstream& picked);

  // Returns the loads of the upstreams that serve `model` for this VM's halves,
  // in the order of the manifest.
  std::vector<UpstreamLoad> Loads(std::string_view model);

  // Returns the load of `spec`. Its m_usable is also false if `spec` belongs to
  // a half that this VM does not serve.
  UpstreamLoad LoadOf(const UpstreamSpec& spec);

  // Records that the VM `from` has `online` online requests in flight on the
  // upstream, which it reported ahead of its next heartbeat.
  void RecordPeerOnline(std::string_view name,
                        std::string_view from,
                        int64_t online);

  // Sets a callback that runs on the requesting thread when an online request
  // takes the last free slot of an upstream or finds none free. Batch requests
  // occupy slots too. Call before Start().
  void SetOnlineFullCallback(
      std::function<void(std::string_view name)> callback) {
    m_online_full_callback = std::move(callback);
  }

  // Upstreams for which `is_blocked` returns true get no new request. It runs
  // under the registry's mutex, so it must be cheap and must not call the
  // registry. Call before Start().
  void SetBlockedPredicate(
      std::function<bool(const std::string& name)> is_blocked) {
    m_is_blocked = std::move(is_blocked);
  }

  // Notified when an upstream may have free slots again.
  ChangeSignal& Changes() { return *m_changes; }

 private:
  struct Candidates;

  // Returns the record of `name`, creating it if needed.
  UpstreamRecord& FindOrAdd(std::string_view name)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  // Returns whether this VM serves the upstream's half. Upstreams without a
  // half are served by all VMs.
  bool IsInServedHalf(const UpstreamSpec& spec) const;
  // Returns whether the upstream is leaving or blocked, or a circuit breaker
  // allows no request to it.
  bool IsUnavailable(const UpstreamSpec& spec,
                     const UpstreamRecord& record,
                     std::span<const std::string> leaving,
                     Millis now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  // Returns the upstreams that may take the request now, with the inputs of
  // ChooseUpstream().
  Candidates CollectCandidates(const UpstreamRequirements& requirements,
                               const ConfigSnapshot& config,
                               Millis now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  UpstreamLoad MakeLoad(const UpstreamSpec& spec,
                        std::span<const std::string> leaving,
                        Millis now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  UpstreamView MakeView(const UpstreamSpec& spec,
                        const UpstreamRecord& record,
                        const UpstreamRequirements& requirements,
                        Millis now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  // Counts a new request as in flight on the upstream.
  PickedUpstream Acquire(const UpstreamSpec& spec,
                         const UpstreamRequirements& requirements,
                         Millis now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  // Reserves the least loaded upstream. Returns an empty name if there is no
  // candidate.
  std::string Reserve(const UpstreamRequirements& requirements);
  void EndReservation(std::string_view name);
  // Returns whether no reservation of another VM takes precedence over this
  // VM's.
  bool HoldsReservation(std::string_view name);
  // Returns whether no VM has a request in flight on the upstream.
  bool IsIdle(std::string_view name);
  // Records the outcome of polling the upstream `name`, requested at `sent`.
  void RecordLoadReport(const std::string& name,
                        const Result<LoadReport>& report,
                        Millis sent);

  ConfigHolder& m_config;
  Membership& m_membership;
  const std::vector<std::string> m_halves;
  std::shared_ptr<ChangeSignal> m_changes = std::make_shared<ChangeSignal>();
  std::function<void(std::string_view)> m_online_full_callback;
  std::function<bool(const std::string&)> m_is_blocked;
  absl::Mutex m_mutex;
  UpstreamRecords m_records ABSL_GUARDED_BY(m_mutex);
  LoadPoller m_poller;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_UPSTREAMS_UPSTREAM_REGISTRY_H_
