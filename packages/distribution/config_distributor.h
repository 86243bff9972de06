// Synchronizes this VM's manifest with the store and the other VMs, propagates
// changes, and tracks whether the manifest is confirmed.

#ifndef BRONZECROSS_DISTRIBUTION_CONFIG_DISTRIBUTOR_H_
#define BRONZECROSS_DISTRIBUTION_CONFIG_DISTRIBUTOR_H_

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <thread>

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include "config/config_holder.h"
#include "http/cancel_token.h"
#include "membership/membership.h"
#include "peers/peer_server.h"
#include "peers/worker_pool.h"
#include "store/kv_client.h"

namespace bronzecross {

// A manifest that has not been confirmed for this long is not fresh. With the
// 500 ms between two checks of open streams and the time that a change takes to
// reach the other VMs, this bounds the time until a withdrawn key stops working
// to 3 s.
inline constexpr Millis kFreshWindow{2000};

class ConfigDistributor {
 public:
  // `key` is the manifest's key in the store. `cache_path` may be empty: the
  // manifest is not cached.
  ConfigDistributor(ConfigHolder& config,
                    KvClient& store,
                    Membership& membership,
                    PeerServer& server,
                    std::string key,
                    std::string cache_path);
  ~ConfigDistributor();
  ConfigDistributor(const ConfigDistributor&) = delete;
  ConfigDistributor& operator=(const ConfigDistributor&) = delete;

  void Start();
  void Stop();

  // Returns whether, within kFreshWindow, this VM read the manifest's state in
  // the store or was in contact with a majority of the known VMs, while no VM
  // had announced a newer generation than the local one. Requests with an API
  // key require it.
  bool IsFresh() const;
  // For the status page: role, freshness and the highest known generation.
  nlohmann::json MakeStatus() const;

 private:
  void RunUpdates();
  void RunStorePoll();
  void RunWatch();
  // Reads and writes the cache file.
  void RunCache();

  void UpdateFreshness();
  bool PullIfBehind();
  void UpdateWatcherRole();
  void SaveCache();
  void LoadCacheOnce();

  // Reads the manifest if it changed since the last read.
  void ReadStore();
  void ApplyStoreEntry(const KvEntry& entry);
  // Installs a complete document. Returns whether it was newer.
  bool Install(nlohmann::json document, std::string_view source);
  void Push(const nlohmann::json& message, std::string_view root);

  nlohmann::json MakeSection() const;
  void ReceiveSection(const std::string& from, const nlohmann::json& section);
  Result<std::string> HandlePush(std::string_view body);
  Result<std::string> HandlePull() const;

  int64_t Generation() const { return m_config.Get()->Generation(); }
  bool WaitStopped(Millis duration);
  bool NeedsStore() const;

  ConfigHolder& m_config;
  KvClient& m_store;
  Membership& m_membership;
  const std::string m_key;
  const std::string m_cache_path;
  const Millis m_created_at;

  // Held while a document is replaced, so that patches are applied in order.
  absl::Mutex m_install_mutex;
  mutable absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  bool m_wake ABSL_GUARDED_BY(m_mutex) = false;
  // The manifest in effect, in the form that VMs exchange.
  nlohmann::json m_document ABSL_GUARDED_BY(m_mutex);
  int64_t m_highest_known_generation ABSL_GUARDED_BY(m_mutex) = 0;
  Millis m_behind_since ABSL_GUARDED_BY(m_mutex);
  // The generations last announced by the other VMs, by id.
  std::map<std::string, int64_t> m_peer_generations ABSL_GUARDED_BY(m_mutex);
  std::set<std::string> m_without_store ABSL_GUARDED_BY(m_mutex);
  Millis m_store_confirmed_at ABSL_GUARDED_BY(m_mutex);
  int m_store_failures ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_store_revision ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_watching ABSL_GUARDED_BY(m_mutex) = false;
  std::shared_ptr<CancelToken> m_watch_cancel ABSL_GUARDED_BY(m_mutex);
  Millis m_confirmed_at ABSL_GUARDED_BY(m_mutex);
  bool m_was_fresh ABSL_GUARDED_BY(m_mutex) = false;

  // Used by the thread of RunCache() only.
  int64_t m_cached_generation = 0;
  bool m_cache_load_attempted = false;

  const std::unique_ptr<WorkerPool> m_push_pool;
  std::thread m_update_thread;
  std::thread m_store_poll_thread;
  std::thread m_watch_thread;
  std::thread m_cache_thread;  // not started without a cache path
};

}  // namespace bronzecross

#endif  // BRONZECROSS_DISTRIBUTION_CONFIG_DISTRIBUTOR_H_
