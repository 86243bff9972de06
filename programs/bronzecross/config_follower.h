// Keeps the manifest in force in step with the store.

#ifndef BRONZECROSS_PROGRAMS_BRONZECROSS_CONFIG_FOLLOWER_H_
#define BRONZECROSS_PROGRAMS_BRONZECROSS_CONFIG_FOLLOWER_H_

#include <atomic>
#include <string>
#include <thread>

#include "config/config_holder.h"
#include "http/cancel_token.h"
#include "store/kv_client.h"

namespace bronzecross {

class ConfigFollower {
 public:
  ConfigFollower(ConfigHolder& config, KvClient& store, std::string key);
  ~ConfigFollower();

  void Start();
  void Stop();

 private:
  void Run();
  // Reads the manifest once and returns the revision to watch from, or 0.
  int64_t ReadOnce();
  void Install(const KvEntry& entry);

  ConfigHolder& m_config;
  KvClient& m_store;
  const std::string m_key;
  CancelToken m_cancel;
  std::thread m_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_PROGRAMS_BRONZECROSS_CONFIG_FOLLOWER_H_
