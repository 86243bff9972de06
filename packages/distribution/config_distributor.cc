#include "distribution/config_distributor.h"

#include <algorithm>

#include <absl/time/time.h>

#include "base/log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "distribution/config_document.h"
#include "distribution/config_roles.h"
#include "peers/message.h"
#include "store/kv_watch.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kUpdateInterval{100};
// Membership changes take seconds, so a longer interval suffices here.
constexpr Millis kWatcherUpdateInterval{500};
constexpr Millis kMaxWatchDuration{600'000};
// A watcher also polls at this interval: a watch on a connection whose packets
// are silently dropped never ends by itself.
constexpr Millis kStorePollInterval{1000};
// Poll interval of a VM whose manifest is not confirmed otherwise; must be
// shorter than kFreshWindow.
constexpr Millis kUnconfirmedStorePollInterval{500};
// A VM reports the store as unreachable after this many consecutive failed
// reads.
constexpr int kStoreFailureLimit = 2;
// A newer generation announced in a heartbeat is usually being pushed already;
// it is pulled only if it has not arrived after this delay.
constexpr Millis kPullDelay{150};
constexpr Millis kPullTimeout{1000};
constexpr Millis kPushTimeout{500};
constexpr int kPushThreads = 8;
constexpr size_t kPushQueueCapacity = 4096;

}  // namespace

ConfigDistributor::ConfigDistributor(ConfigHolder& config,
                                     KvClient& store,
                                     Membership& membership,
                                     PeerServer& server,
                                     std::string key,
                                     std::string cache_path)
    : m_config(config),
      m_store(store),
      m_membership(membership),
      m_key(std::move(key)),
      m_cache_path(std::move(cache_path)),
      m_created_at(MonotonicNow()),
      m_push_pool(
          std::make_unique<WorkerPool>(kPushThreads, kPushQueueCapacity)) {
  HeartbeatSection section;
  section.m_make = [this] { return MakeSection(); };
  section.m_receive = [this](const std::string& from, const json& value) {
    ReceiveSection(from, value);
  };
  // IsFresh() requires each heartbeat reply to carry the generation at that
  // moment.
  section.m_always_send = true;
  m_membership.AddSection("cfg", std::move(section));
  server.Register(
      "config.push", PeerDispatch::kOnWorker,
      [this](std::string_view body, Millis) { return HandlePush(body); });
  server.Register("config.pull", PeerDispatch::kOnWorker,
                  [this](std::string_view, Millis) { return HandlePull(); });
}

ConfigDistributor::~ConfigDistributor() {
  Stop();
}

void ConfigDistributor::Start() {
  m_update_thread = std::thread([this] { RunUpdates(); });
  m_store_poll_thread = std::thread([this] { RunStorePoll(); });
  m_watch_thread = std::thread([this] { RunWatch(); });
  if (!m_cache_path.empty()) {
    m_cache_thread = std::thread([this] { RunCache(); });
  }
}

void ConfigDistributor::Stop() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
    if (m_watch_cancel != nullptr) {
      m_watch_cancel->Cancel();
    }
  }
  for (std::thread* thread : {&m_update_thread, &m_store_poll_thread,
                              &m_watch_thread, &m_cache_thread}) {
    if (thread->joinable()) {
      thread->join();
    }
  }
}

bool ConfigDistributor::WaitStopped(Millis duration) {
  absl::MutexLock lock(&m_mutex);
  return m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping),
                                  absl::Milliseconds(duration.count()));
}

void ConfigDistributor::RunUpdates() {
  Millis last_watcher_update;
  while (true) {
    if (MonotonicNow() - last_watcher_update >= kWatcherUpdateInterval) {
      last_watcher_update = MonotonicNow();
      UpdateWatcherRole();
    }
    bool pulled = false;
    do {
      pulled = PullIfBehind();
    } while (pulled);
    UpdateFreshness();
    absl::MutexLock lock(&m_mutex);
    const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
      return m_stopping || m_wake;
    };
    m_mutex.AwaitWithTimeout(absl::Condition(&ready),
                             absl::Milliseconds(kUpdateInterval.count()));
    m_wake = false;
    if (m_stopping) {
      return;
    }
  }
}

void ConfigDistributor::UpdateWatcherRole() {
  std::vector<Member> members = m_membership.Eligible();
  if (members.empty()) {
    members = m_membership.Live();
  }
  const std::string& self = m_membership.Self().m_id;
  absl::MutexLock lock(&m_mutex);
  std::set<std::string> without_store = m_without_store;
  if (m_store_failures >= kStoreFailureLimit) {
    without_store.insert(self);
  }
  const std::vector<std::string> watchers =
      ChooseWatchers(members, without_store);
  const bool watching =
      std::find(watchers.begin(), watchers.end(), self) != watchers.end();
  if (watching == m_watching) {
    return;
  }
  m_watching = watching;
  if (!watching && m_watch_cancel != nullptr) {
    m_watch_cancel->Cancel();
  }
  Log(Severity::kInfo, LogPart::kConfig,
      watching ? "Watching the manifest in the store."
               : "Stopped watching the manifest; other VMs watch it.",
      {{"live", members.size()}, {"without_store", without_store.size()}});
}

bool ConfigDistributor::PullIfBehind() {
  const int64_t own_generation = Generation();
  std::vector<std::string> sources;
  {
    absl::MutexLock lock(&m_mutex);
    if (m_stopping || m_highest_known_generation <= own_generation ||
        MonotonicNow() - m_behind_since < kPullDelay) {
      return false;
    }
    for (const auto& [id, generation] : m_peer_generations) {
      if (generation > own_generation) {
        sources.push_back(id);
      }
    }
  }
  if (sources.empty()) {
    return false;
  }
  const std::string& source =
      sources[RandomBelow(ThreadRandom(), sources.size())];
  const Result<json> reply =
      m_membership.Call(source, "config.pull", json::object(), kPullTimeout);
  if (!reply) {
    LogError(Severity::kWarning, LogPart::kConfig,
             "Failed to pull the manifest from a VM.", reply.error());
    return false;
  }
  if (!reply->is_object() || !reply->contains("document") ||
      reply->value("hash", "") != DocumentHash(reply->at("document"))) {
    Log(Severity::kWarning, LogPart::kConfig,
        "Dropped a manifest from a VM with a wrong hash.", {{"vm", source}});
    return false;
  }
  return Install(reply->at("document"), "pull");
}

void ConfigDistributor::UpdateFreshness() {
  const Millis majority_contact = m_membership.LastMajorityContact();
  const int64_t own_generation = Generation();
  const Millis now = MonotonicNow();
  bool fresh = false;
  {
    absl::MutexLock lock(&m_mutex);
    if (own_generation > 0 && own_generation >= m_highest_known_generation) {
      m_confirmed_at =
          std::max({m_confirmed_at, majority_contact, m_store_confirmed_at});
    }
    fresh = m_confirmed_at != Millis(0) && now - m_confirmed_at <= kFreshWindow;
    if (fresh == m_was_fresh) {
      return;
    }
    m_was_fresh = fresh;
  }
  SetGauge("bronzecross_config_fresh", {}, fresh ? 1 : 0);
  Log(fresh ? Severity::kInfo : Severity::kWarning, LogPart::kConfig,
      fresh ? "The manifest is confirmed." : "The manifest is not confirmed.",
      {{"generation", own_generation},
       {"majority_contact_ms_ago", now - majority_contact}});
}

bool ConfigDistributor::IsFresh() const {
  absl::MutexLock lock(&m_mutex);
  return m_confirmed_at != Millis(0) &&
         MonotonicNow() - m_confirmed_at <= kFreshWindow;
}

json ConfigDistributor::MakeStatus() const {
  const bool fresh = IsFresh();
  absl::MutexLock lock(&m_mutex);
  return {{"fresh", fresh},
          {"watching", m_watching},
          {"store_reachable", m_store_failures < kStoreFailureLimit},
          {"highest_generation_heard", m_highest_known_generation}};
}

bool ConfigDistributor::NeedsStore() const {
  const bool confirmed = m_membership.HasMajorityContact(kStorePollInterval);
  const int64_t own_generation = Generation();
  absl::MutexLock lock(&m_mutex);
  return m_watching || !confirmed || own_generation == 0 ||
         own_generation < m_highest_known_generation ||
         m_store_failures >= kStoreFailureLimit;
}

void ConfigDistributor::RunStorePoll() {
  Millis last;
  do {
    bool watching = false;
    {
      absl::MutexLock lock(&m_mutex);
      watching = m_watching;
    }
    const Millis interval = watching && IsFresh()
                                ? kStorePollInterval
                                : kUnconfirmedStorePollInterval;
    if (last == Millis(0) ||
        (MonotonicNow() - last >= interval && NeedsStore())) {
      last = MonotonicNow();
      ReadStore();
    }
  } while (!WaitStopped(kUnconfirmedStorePollInterval / 2));
}

void ConfigDistributor::ReadStore() {
  int64_t known_revision = 0;
  {
    absl::MutexLock lock(&m_mutex);
    known_revision = m_store_revision;
  }
  const Millis requested_at = MonotonicNow();
  const Result<KvRange> range = m_store.List(m_key, known_revision + 1);
  if (!range) {
    absl::MutexLock lock(&m_mutex);
    if (++m_store_failures == kStoreFailureLimit) {
      LogError(Severity::kWarning, LogPart::kConfig,
               "Failed to read the manifest from the store.", range.error());
    }
    return;
  }
  for (const KvEntry& entry : range->m_entries) {
    if (entry.m_key == m_key) {
      ApplyStoreEntry(entry);
    }
  }
  absl::MutexLock lock(&m_mutex);
  m_store_failures = 0;
  // A rejected manifest is not in effect, so the read confirms nothing.
  if (range->m_entries.empty() || m_store_revision > known_revision) {
    m_store_confirmed_at = requested_at;
  }
}

void ConfigDistributor::RunWatch() {
  while (true) {
    std::shared_ptr<CancelToken> cancel;
    int64_t first_revision = 0;
    {
      absl::MutexLock lock(&m_mutex);
      if (m_stopping) {
        return;
      }
      if (m_watching && m_store_failures == 0 && m_store_revision > 0) {
        cancel = std::make_shared<CancelToken>();
        m_watch_cancel = cancel;
        first_revision = m_store_revision + 1;
      }
    }
    if (cancel != nullptr) {
      const Error ended = WatchPrefix(
          m_store, m_key, first_revision, kMaxWatchDuration, *cancel,
          [this](const KvChange& change) {
            if (!change.m_deleted && change.m_entry.m_key == m_key) {
              ApplyStoreEntry(change.m_entry);
            }
          });
      if (!cancel->IsCancelled()) {
        LogError(Severity::kWarning, LogPart::kConfig,
                 "The watch on the manifest ended.", ended);
      }
    }
    if (WaitStopped(kUnconfirmedStorePollInterval)) {
      return;
    }
  }
}

void ConfigDistributor::ApplyStoreEntry(const KvEntry& entry) {
  const Result<Manifest> manifest = ParseManifestJson(entry.m_value);
  if (!manifest) {
    LogError(Severity::kError, LogPart::kConfig,
             "Rejected an invalid manifest from the store.", manifest.error());
    return;
  }
  json document = MakeDocument(*manifest);
  json previous;
  {
    absl::MutexLock lock(&m_mutex);
    previous = m_document;
  }
  const bool installed = Install(document, "store");
  {
    absl::MutexLock lock(&m_mutex);
    m_store_revision = std::max(m_store_revision, entry.m_mod_revision);
  }
  if (installed && previous.is_object()) {
    const std::string& self = m_membership.Self().m_id;
    const ConfigPatch patch = MakePatch(previous, document);
    Push({{"from", patch.m_from},
          {"to", patch.m_to},
          {"patch", patch.m_merge},
          {"hash", patch.m_hash},
          {"root", self},
          {"sender", self}},
         self);
  }
}

bool ConfigDistributor::Install(json document, std::string_view source) {
  Result<Manifest> manifest = ManifestFromDocument(document);
  if (!manifest) {
    LogError(Severity::kError, LogPart::kConfig,
             "Rejected an invalid manifest.", manifest.error());
    return false;
  }
  const int64_t generation = manifest->m_generation;
  {
    absl::MutexLock install(&m_install_mutex);
    if (!m_config.Install(std::move(*manifest))) {
      return false;
    }
    absl::MutexLock lock(&m_mutex);
    m_document = std::move(document);
    m_wake = true;
  }
  CountMetric("bronzecross_config_installs_total", {{"source", source}});
  SetGauge("bronzecross_config_generation", {},
           static_cast<double>(generation));
  Log(Severity::kInfo, LogPart::kConfig, "The manifest is in effect.",
      {{"generation", generation}, {"source", source}});
  return true;
}

void ConfigDistributor::Push(const json& message, std::string_view root) {
  const std::string& self = m_membership.Self().m_id;
  const std::vector<Member> live = m_membership.Live();
  json own_message = message;
  own_message["sender"] = self;
  for (const std::string& target : PushTargets(root, self, live)) {
    const bool queued = m_push_pool->Submit([this, target, own_message] {
      // A VM that misses the push pulls the manifest later, because heartbeats
      // announce the generation.
      const Result<json> reply =
          m_membership.Call(target, "config.push", own_message, kPushTimeout);
      if (!reply) {
        LogError(Severity::kWarning, LogPart::kConfig,
                 "Failed to push the manifest to " + target + ".",
                 reply.error());
      }
    });
    if (!queued) {
      return;
    }
  }
}

Result<std::string> ConfigDistributor::HandlePush(std::string_view body) {
  const Result<json> message = DecodeMessage(body);
  if (!message) {
    return tl::unexpected<Error>(message.error());
  }
  try {
    const ConfigPatch patch{message->at("from"), message->at("to"),
                            message->at("patch"), message->at("hash")};
    const std::string root = message->at("root");
    const std::string sender = message->at("sender");
    json document;
    {
      absl::MutexLock lock(&m_mutex);
      document = m_document;
    }
    if (patch.m_to > DocumentGeneration(document)) {
      Result<json> patched = ApplyPatch(std::move(document), patch);
      if (patched) {
        Install(std::move(*patched), "push");
      } else {
        // Pulls without kPullDelay, because no other push can succeed.
        absl::MutexLock lock(&m_mutex);
        m_peer_generations[sender] =
            std::max(m_peer_generations[sender], patch.m_to);
        m_highest_known_generation =
            std::max(m_highest_known_generation, patch.m_to);
        m_behind_since = Millis(0);
        m_wake = true;
      }
    }
    Push(*message, root);
  } catch (const json::exception& error) {
    return Fail(ResultCode::kMalformedBody, error.what());
  }
  return EncodeMessage(json{{"generation", Generation()}});
}

Result<std::string> ConfigDistributor::HandlePull() const {
  absl::MutexLock lock(&m_mutex);
  if (!m_document.is_object()) {
    return Fail(ResultCode::kNotFound, "this VM has no manifest yet");
  }
  return EncodeMessage(
      json{{"hash", DocumentHash(m_document)}, {"document", m_document}});
}

json ConfigDistributor::MakeSection() const {
  const int64_t generation = Generation();
  absl::MutexLock lock(&m_mutex);
  return json::array(
      {generation, m_store_failures < kStoreFailureLimit ? 1 : 0});
}

void ConfigDistributor::ReceiveSection(const std::string& from,
                                       const json& section) {
  const int64_t generation = section.at(0);
  const bool reaches_store = section.at(1).get<int>() != 0;
  const int64_t own_generation = Generation();
  absl::MutexLock lock(&m_mutex);
  m_peer_generations[from] = generation;
  if (reaches_store) {
    m_without_store.erase(from);
  } else {
    m_without_store.insert(from);
  }
  if (generation > m_highest_known_generation) {
    m_behind_since = m_highest_known_generation > own_generation
                         ? m_behind_since
                         : MonotonicNow();
    m_highest_known_generation = generation;
    m_wake = true;
  }
}

}  // namespace bronzecross
