#include "upstreams/upstream_registry.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "upstreams/load_report.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kPollInterval{250};
constexpr Millis kPollTimeout{500};
// After this many failures in a row an upstream gets no work for a while.
constexpr int kTripAfter = 3;
constexpr Millis kTripFor{2000};
// What a VM told about its requests in flight is forgotten after this time.
constexpr Millis kPeerCountLife{2000};

bool Contains(std::span<const std::string> names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool Serves(const UpstreamSpec& spec, const UpstreamNeed& need) {
  if (spec.m_state == UpstreamState::kLeaving ||
      Contains(need.m_avoid, spec.m_name)) {
    return false;
  }
  if (!need.m_service.empty()) {
    return spec.m_kind == UpstreamKind::kService &&
           spec.m_service == need.m_service;
  }
  return spec.m_kind == UpstreamKind::kEngine &&
         Contains(spec.m_models, need.m_model);
}

struct PeerCount {
  int64_t m_in_flight = 0;
  Millis m_told;
};

}  // namespace

struct UpstreamRegistry::Upstream {
  InFlightCounter m_own = std::make_shared<std::atomic<int64_t>>(0);
  std::map<std::string, PeerCount> m_peers;
  int64_t m_reported = 0;
  Millis m_reported_at;
  int m_failures = 0;
  Millis m_tripped_until;
};

UpstreamRegistry::UpstreamRegistry(ConfigHolder& config,
                                   Membership& membership,
                                   HttpClient& http,
                                   std::vector<std::string> halves)
    : m_config(config),
      m_membership(membership),
      m_http(http),
      m_halves(std::move(halves)) {
  m_membership.AddSection(
      "upstreams", {[this] { return MakeSection(); },
                    [this](const std::string& from, const json& section) {
                      TakeSection(from, section);
                    }});
}

UpstreamRegistry::~UpstreamRegistry() {
  Stop();
}

void UpstreamRegistry::Start() {
  m_poll_thread = std::thread([this] { PollLoads(); });
}

void UpstreamRegistry::Stop() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  if (m_poll_thread.joinable()) {
    m_poll_thread.join();
  }
}

UpstreamRegistry::Upstream& UpstreamRegistry::FindOrAdd(std::string_view name) {
  const auto found = m_upstreams.find(name);
  return found != m_upstreams.end()
             ? found->second
             : m_upstreams.try_emplace(std::string(name)).first->second;
}

Result<PickedUpstream> UpstreamRegistry::Pick(const UpstreamNeed& need,
                                              std::string_view request_id) {
  const std::shared_ptr<const ConfigSnapshot> config = m_config.Get();
  const std::vector<std::string> leaving = m_membership.LeavingUpstreams();
  const Millis now = MonotonicNow();
  std::vector<const UpstreamSpec*> specs;
  std::vector<UpstreamView> views;
  absl::MutexLock lock(&m_mutex);
  for (const UpstreamSpec& spec : config->GetManifest().m_upstreams) {
    if (!Serves(spec, need) || Contains(leaving, spec.m_name) ||
        (!m_halves.empty() && !spec.m_half.empty() &&
         !Contains(m_halves, spec.m_half))) {
      continue;
    }
    const Upstream& upstream = FindOrAdd(spec.m_name);
    if (upstream.m_tripped_until > now) {
      continue;
    }
    UpstreamView& view = views.emplace_back();
    specs.push_back(&spec);
    view.m_name = spec.m_name;
    view.m_own_in_flight = *upstream.m_own;
    for (const auto& [id, count] : upstream.m_peers) {
      view.m_peers_in_flight +=
          now - count.m_told < kPeerCountLife ? count.m_in_flight : 0;
    }
    view.m_reported = upstream.m_reported;
    view.m_reported_at = upstream.m_reported_at;
    view.m_slots = spec.m_slots;
    view.m_speed = spec.m_speed;
    view.m_same_zone =
        spec.m_availability_zone == m_membership.Self().m_availability_zone;
  }
  const std::optional<RouteDecision> decision =
      ChooseUpstream(views, now, ThreadRandom());
  if (!decision) {
    return Fail(
        ResultCode::kNoUpstream,
        absl::StrCat("no upstream can serve ",
                     need.m_service.empty() ? std::string(need.m_model)
                                            : std::string(need.m_service),
                     " now"));
  }
  const UpstreamSpec& chosen = *specs[decision->m_index];
  const UpstreamView& view = views[decision->m_index];
  Log(Severity::kInfo, LogPart::kRouting, "Chose an upstream.",
      {{"request", request_id},
       {"upstream", chosen.m_name},
       {"candidates", views.size()},
       {"cost", decision->m_cost},
       {"own", view.m_own_in_flight},
       {"peers", view.m_peers_in_flight},
       {"reported", view.m_reported},
       {"report_age_ms", now - view.m_reported_at}});
  return PickedUpstream{chosen.m_name, chosen.m_url,
                        InFlight(FindOrAdd(chosen.m_name).m_own)};
}

void UpstreamRegistry::ReportOutcome(std::string_view name, bool failed) {
  absl::MutexLock lock(&m_mutex);
  Upstream& upstream = FindOrAdd(name);
  upstream.m_failures = failed ? upstream.m_failures + 1 : 0;
  if (upstream.m_failures >= kTripAfter) {
    upstream.m_failures = 0;
    upstream.m_tripped_until = MonotonicNow() + kTripFor;
    Log(Severity::kWarning, LogPart::kUpstreams, "Tripped an upstream.",
        {{"upstream", name}, {"for_ms", kTripFor}});
  }
}

void UpstreamRegistry::PollLoads() {
  while (true) {
    const std::shared_ptr<const ConfigSnapshot> config = m_config.Get();
    for (const UpstreamSpec& spec : config->GetManifest().m_upstreams) {
      PollLoad(spec);
    }
    absl::MutexLock lock(&m_mutex);
    if (m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping),
                                 absl::Milliseconds(kPollInterval.count()))) {
      return;
    }
  }
}

void UpstreamRegistry::PollLoad(const UpstreamSpec& spec) {
  if (spec.m_kind != UpstreamKind::kEngine) {
    return;
  }
  HttpCall call;
  call.m_url = absl::StrCat(spec.m_url, "/metrics");
  call.m_timeout = kPollTimeout;
  call.m_max_answer_bytes = 1 << 20;
  const Millis sent = MonotonicNow();
  const Result<HttpAnswer> answer = m_http.Call(call);
  if (!answer || answer->m_status != 200) {
    return;
  }
  const Result<LoadReport> report = ParseLoadReport(answer->m_body);
  if (!report) {
    LogError(Severity::kWarning, LogPart::kUpstreams, "Dropped a load report.",
             report.error());
    return;
  }
  absl::MutexLock lock(&m_mutex);
  Upstream& upstream = FindOrAdd(spec.m_name);
  upstream.m_reported = report->m_running + report->m_waiting;
  upstream.m_reported_at = sent;
}

json UpstreamRegistry::MakeSection() {
  json section = json::object();
  absl::MutexLock lock(&m_mutex);
  for (const auto& [name, upstream] : m_upstreams) {
    const int64_t own = *upstream.m_own;
    if (own > 0) {
      section[name] = own;
    }
  }
  return section;
}

void UpstreamRegistry::TakeSection(const std::string& from,
                                   const json& section) {
  const Millis now = MonotonicNow();
  absl::MutexLock lock(&m_mutex);
  for (auto& [name, upstream] : m_upstreams) {
    upstream.m_peers.erase(from);
  }
  for (const auto& [name, count] : section.items()) {
    FindOrAdd(name).m_peers[from] = PeerCount{count.get<int64_t>(), now};
  }
}

}  // namespace bronzecross
