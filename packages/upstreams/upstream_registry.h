// All upstreams of the manifest with what this VM knows of them: own requests
// in flight, what other VMs told, load reports and recent failures.

#ifndef BRONZECROSS_UPSTREAMS_UPSTREAM_REGISTRY_H_
#define BRONZECROSS_UPSTREAMS_UPSTREAM_REGISTRY_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "base/random.h"
#include "config/config_holder.h"
#include "http/http_client.h"
#include "membership/membership.h"
#include "routing/choose_upstream.h"
#include "upstreams/in_flight.h"

namespace bronzecross {

// An upstream picked for one request.
struct PickedUpstream {
  std::string m_name;
  std::string m_url;
  InFlight m_in_flight;
};

// What a request needs of an upstream: a model, or a plain service.
struct UpstreamNeed {
  std::string_view m_model;
  std::string_view m_service;
  // Names of upstreams that already failed this request.
  std::span<const std::string> m_avoid;
};

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

  // Picks an upstream and logs the decision. Fails with kNoUpstream (not run).
  Result<PickedUpstream> Pick(const UpstreamNeed& need,
                              std::string_view request_id);

  // Tells how a request ended: `failed` for a lost connection, a time-out or
  // any 5xx answer.
  void ReportOutcome(std::string_view name, bool failed);

 private:
  struct Upstream;

  Upstream& FindOrAdd(std::string_view name)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void PollLoads();
  void PollLoad(const UpstreamSpec& spec);
  nlohmann::json MakeSection();
  void TakeSection(const std::string& from, const nlohmann::json& section);

  ConfigHolder& m_config;
  Membership& m_membership;
  HttpClient& m_http;
  const std::vector<std::string> m_halves;
  absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::map<std::string, Upstream, std::less<>> m_upstreams
      ABSL_GUARDED_BY(m_mutex);
  std::thread m_poll_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_UPSTREAMS_UPSTREAM_REGISTRY_H_
