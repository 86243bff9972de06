// Keeps the manifest in a file for a start while the store is away. This has a
// thread of its own: a disk that stands still must not delay the confirmation
// of the manifest, without which the VM isn't ready.

#include "base/log.h"
#include "distribution/config_cache.h"
#include "distribution/config_distributor.h"
#include "distribution/config_document.h"

namespace bronzecross {

using nlohmann::json;

namespace {

// Delay before the cache file is used, so that a manifest from a peer is
// preferred.
constexpr Millis kCacheDelay{1000};

// Interval at which the thread looks whether there is something to do.
constexpr Millis kCacheInterval{100};

}  // namespace

void ConfigDistributor::RunCache() {
  do {
    LoadCacheOnce();
    SaveCache();
  } while (!WaitStopped(kCacheInterval));
}

void ConfigDistributor::LoadCacheOnce() {
  if (m_cache_load_attempted || Generation() > 0 ||
      MonotonicNow() - m_created_at < kCacheDelay) {
    return;
  }
  m_cache_load_attempted = true;
  Result<json> document = ReadConfigCache(m_cache_path);
  if (document) {
    m_cached_generation = DocumentGeneration(*document);
    Install(std::move(*document), "cache");
  } else if (document.error().m_code != ResultCode::kNotFound) {
    LogError(Severity::kWarning, LogPart::kConfig,
             "Failed to load the cached manifest.", document.error());
  }
}

void ConfigDistributor::SaveCache() {
  if (Generation() <= m_cached_generation) {
    return;
  }
  json document;
  {
    absl::MutexLock lock(&m_mutex);
    document = m_document;
  }
  const Status written = WriteConfigCache(m_cache_path, document);
  // A full disk must not block the installation. The write is retried with the
  // next generation.
  m_cached_generation = DocumentGeneration(document);
  if (!written) {
    LogError(Severity::kWarning, LogPart::kConfig,
             "Failed to cache the manifest.", written.error());
  }
}

}  // namespace bronzecross
