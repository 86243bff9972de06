#include "upstreams/load_poller.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include "membership/rendezvous.h"

namespace bronzecross {
namespace {

constexpr Millis kPollInterval{250};
constexpr Millis kPollTimeout{500};
// Two, so that reports continue if one of the polling VMs fails.
constexpr size_t kPollersPerEngine = 2;

}  // namespace

LoadPoller::LoadPoller(ConfigHolder& config,
                       Membership& membership,
                       HttpClient& http,
                       Sink sink)
    : m_config(config),
      m_membership(membership),
      m_http(http),
      m_sink(std::move(sink)) {}

LoadPoller::~LoadPoller() {
  Stop();
}

void LoadPoller::Start() {
  m_thread = std::thread([this] { Run(); });
}

void LoadPoller::Stop() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

bool LoadPoller::IsPolledHere(const std::string& name,
                              std::span<const Member> live) const {
  const std::vector<std::string> ranked = RankMembers("poll/" + name, live);
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(
                                        kPollersPerEngine, ranked.size()));
  return std::find(ranked.begin(), end, m_membership.Self().m_id) != end;
}

void LoadPoller::Run() {
  while (true) {
    const std::shared_ptr<const ConfigSnapshot> config = m_config.Get();
    const std::vector<Member> live = m_membership.Live();
    for (const UpstreamSpec& spec : config->GetManifest().m_upstreams) {
      if (spec.m_kind == UpstreamKind::kEngine &&
          IsPolledHere(spec.m_name, live)) {
        const Millis sent = MonotonicNow();
        m_sink(spec.m_name, Poll(spec), sent);
      }
      absl::MutexLock lock(&m_mutex);
      if (m_stopping) {
        return;
      }
    }
    absl::MutexLock lock(&m_mutex);
    if (m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping),
                                 absl::Milliseconds(kPollInterval.count()))) {
      return;
    }
  }
}

Result<LoadReport> LoadPoller::Poll(const UpstreamSpec& spec) {
  HttpCall call;
  call.m_url = absl::StrCat(spec.m_url, "/metrics");
  call.m_timeout = kPollTimeout;
  call.m_connect_timeout = kPollTimeout;
  call.m_max_answer_bytes = 1 << 20;
  const Result<HttpAnswer> response = m_http.Call(call);
  if (!response) {
    return tl::unexpected<Error>(response.error());
  }
  if (response->m_status != 200) {
    return Fail(ResultCode::kMalformedBody,
                absl::StrCat("the load report request returned status ",
                             response->m_status));
  }
  return ParseLoadReport(response->m_body);
}

}  // namespace bronzecross
