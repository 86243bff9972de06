#include "config_follower.h"

#include "base/log.h"
#include "store/kv_watch.h"

namespace bronzecross {
namespace {

constexpr Millis kRetryInterval{500};
constexpr Millis kLongestWatch{600'000};

}  // namespace

ConfigFollower::ConfigFollower(ConfigHolder& config,
                               KvClient& store,
                               std::string key)
    : m_config(config), m_store(store), m_key(std::move(key)) {}

ConfigFollower::~ConfigFollower() {
  Stop();
}

void ConfigFollower::Start() {
  m_thread = std::thread([this] { Run(); });
}

void ConfigFollower::Stop() {
  m_cancel.Cancel();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void ConfigFollower::Run() {
  while (!m_cancel.IsCancelled()) {
    const int64_t revision = ReadOnce();
    if (revision > 0) {
      const Error ended =
          WatchPrefix(m_store, m_key, revision + 1, kLongestWatch, m_cancel,
                      [this](const KvChange& change) {
                        if (!change.m_deleted) {
                          Install(change.m_entry);
                        }
                      });
      if (!m_cancel.IsCancelled()) {
        LogError(Severity::kWarning, LogPart::kConfig,
                 "The watch on the manifest ended.", ended);
      }
    }
    if (!m_cancel.IsCancelled()) {
      SleepFor(kRetryInterval);
    }
  }
}

int64_t ConfigFollower::ReadOnce() {
  const Result<KvRange> range = m_store.List(m_key);
  if (!range) {
    LogError(Severity::kWarning, LogPart::kConfig, "Cannot read the manifest.",
             range.error());
    return 0;
  }
  for (const KvEntry& entry : range->m_entries) {
    Install(entry);
  }
  return range->m_revision;
}

void ConfigFollower::Install(const KvEntry& entry) {
  Result<Manifest> manifest = ParseManifestJson(entry.m_value);
  if (!manifest) {
    LogError(Severity::kError, LogPart::kConfig,
             "Refused a manifest from the store.", manifest.error());
    return;
  }
  m_config.Install(std::move(*manifest));
}

}  // namespace bronzecross
