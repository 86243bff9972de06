// All upstreams of the manifest with what this VM knows of them, and the pick
// of one for a request.

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
  // `halves` are the halves that this VM serves; empty: all.
  UpstreamRegistry(ConfigHolder& config,
                   Membership& membership,
                   HttpClient& http,
                   std::vector<std::string> halves);
  ~UpstreamRegistry();
  UpstreamRegistry(const UpstreamRegistry&) = delete;
  UpstreamRegistry& operator=(const UpstreamRegistry&) = delete;

  void Start();
  void Stop();

  // Picks an upstream and logs the decision. Fails, both not run, with
  // kNoUpstream if none can serve the request, and with kOverloaded if those
  // that can are full now.
  Result<PickedUpstream> Pick(const UpstreamNeed& need,
                              std::string_view request_id);

  // Takes the upstream `name` whatever its load, for work that its dispatcher
  // sends. Fails with kNoUpstream (not run) if it is not usable.
  Result<PickedUpstream> PickNamed(std::string_view name,
                                   Priority priority,
                                   std::string_view request_id);

  // Keeps the least loaded upstream free of other requests and waits until it
  // is. Fails with kOverloaded (not run) at `deadline`.
  Result<PickedUpstream> PickAlone(const UpstreamNeed& need,
                                   std::string_view request_id,
                                   Millis deadline);

  // Tells how a request ended: `failed` for a lost connection, a time-out or
  // any 5xx answer.
  void ReportOutcome(std::string_view name, bool failed);

  // Opens the breaker at once: the upstream lost connections and fails its
  // health check.
  void ReportDeath(std::string_view name);

  // Tells that a whole answer came, from which the speed is learned.
  void ReportAnswer(const PickedUpstream& picked);

  // Sends nothing new to the upstream before `until`.
  void KeepQuiet(std::string_view name, Millis until);

  // Sends no requests for `model` to the upstream before `until`.
  void RefuseModel(std::string_view name, std::string_view model, Millis until);

  // Whether no other request was known to run on the upstream since `picked`.
  bool RanAlone(const PickedUpstream& picked);

  // The loads of the upstreams that serve `model` for this VM's halves, in the
  // order of the manifest.
  std::vector<UpstreamLoad> Loads(std::string_view model);

  // The load of `spec`, whose m_usable is false too if this VM's halves do not
  // include it.
  UpstreamLoad LoadOf(const UpstreamSpec& spec);

  // The VM `from` has `online` online requests on the upstream, as it told
  // ahead of its next heartbeat.
  void NotePeerOnline(std::string_view name,
                      std::string_view from,
                      int64_t online);

  // Called on the requesting thread when an online request takes the last slot
  // of an upstream or finds none, batch included. Set before Start().
  void SetOnlineAtBound(std::function<void(std::string_view name)> callback) {
    m_online_at_bound = std::move(callback);
  }

  // Upstreams for which `blocked` is true get no new request. It must be cheap
  // and must not call back. Set before Start().
  void SetBlocked(std::function<bool(const std::string& name)> blocked) {
    m_blocked = std::move(blocked);
  }

  // Notified when an upstream may have room again.
  ChangeSignal& Changes() { return *m_changes; }

 private:
  struct Candidates;

  UpstreamRecord& FindOrAdd(std::string_view name)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  bool IsOurs(const UpstreamSpec& spec) const;
  bool IsDown(const UpstreamSpec& spec,
              const UpstreamRecord& record,
              std::span<const std::string> leaving,
              Millis now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  Candidates Collect(const UpstreamNeed& need,
                     const ConfigSnapshot& config,
                     Millis now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  UpstreamLoad MakeLoad(const UpstreamSpec& spec,
                        std::span<const std::string> leaving,
                        Millis now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  UpstreamView MakeView(const UpstreamSpec& spec,
                        const UpstreamRecord& record,
                        const UpstreamNeed& need,
                        Millis now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  PickedUpstream Take(const UpstreamSpec& spec,
                      const UpstreamNeed& need,
                      Millis now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  // Reserves the least loaded upstream; empty if none is free to reserve.
  std::string Reserve(const UpstreamNeed& need);
  void EndReservation(std::string_view name);
  // Whether the reservation still holds against other VMs' ones.
  bool HoldsReservation(std::string_view name);
  bool IsIdle(std::string_view name);
  void TakeReport(const std::string& name,
                  const Result<LoadReport>& report,
                  Millis sent);

  ConfigHolder& m_config;
  Membership& m_membership;
  const std::vector<std::string> m_halves;
  std::shared_ptr<ChangeSignal> m_changes = std::make_shared<ChangeSignal>();
  std::function<void(std::string_view)> m_online_at_bound;
  std::function<bool(const std::string&)> m_blocked;
  absl::Mutex m_mutex;
  UpstreamRecords m_records ABSL_GUARDED_BY(m_mutex);
  LoadPoller m_poller;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_UPSTREAMS_UPSTREAM_REGISTRY_H_
