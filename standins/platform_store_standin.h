// Stand-in for the platform's metadata store, with switchable faults:
// revisions, conditions, leases, watches, dropped history, refusals and lost
// replies.

#ifndef BRONZECROSS_STANDINS_PLATFORM_STORE_STANDIN_H_
#define BRONZECROSS_STANDINS_PLATFORM_STORE_STANDIN_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include "standins/standin_server.h"

namespace bronzecross {

struct PlatformStoreFaults {
  bool m_refuse = false;  // every call is answered 503 and does nothing
  // Writes that take effect but whose reply is lost, from now on.
  int m_lose_replies = 0;
  // Writes of keys with this in their name get no reply and take effect this
  // much later, if their condition still holds; empty: none do.
  std::string m_late_key;
  Millis m_late_by;
  // Watches that start from now on, wait and never tell of an event.
  int m_deaf_watches = 0;
  // Writes of a larger value are answered 413 and do nothing.
  size_t m_max_value_bytes = 1'048'576;
};

class PlatformStoreStandin {
 public:
  PlatformStoreStandin();
  ~PlatformStoreStandin();

  const NetAddress& Address() const { return m_server.Address(); }
  void SetFaults(const PlatformStoreFaults& faults);
  // Forgets the events so far, so that watches from before fail.
  void DropHistory();

  // Writes as the operator or an upstream would.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // The value under `key`, or an empty string.
  std::string Get(const std::string& key);
  // Number of keys with the prefix.
  int Count(std::string_view prefix);

  int64_t Calls() const { return m_calls; }
  // Number of writes of a value that was too large.
  int64_t TooLargeWrites() const { return m_too_large_writes; }

 private:
  struct Item {
    std::string m_value;
    int64_t m_revision = 0;
    int64_t m_created = 0;
    int64_t m_lease = 0;
  };
  struct Event {
    int64_t m_revision = 0;
    std::string m_key;
    bool m_removed = false;
    Item m_item;
  };
  struct Lease {
    Millis m_ttl;
    Millis m_ends;
  };

  HttpReply Handle(HttpRequest& request);
  HttpReply HandleGet(const HttpRequest& request);
  HttpReply HandleRange(const HttpRequest& request);
  HttpReply HandleWatch(const HttpRequest& request);
  HttpReply HandleTransaction(const HttpRequest& request);
  // How much later the write takes effect; zero: at once.
  Millis LatenessOf(const nlohmann::json& transaction);
  HttpReply HandleLease(const HttpRequest& request);
  HttpReply HandleKeep(const std::string& id);
  HttpReply HandleEnd(const std::string& id);

  void PutLocked(const std::string& key,
                 const std::string& value,
                 int64_t lease) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void RemoveLocked(const std::string& key)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void EndLeaseLocked(int64_t id) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void ExpireLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  nlohmann::json ItemJson(const std::string& key, const Item& item) const;

  absl::Mutex m_mutex;
  PlatformStoreFaults m_faults ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, Item> m_items ABSL_GUARDED_BY(m_mutex);
  std::vector<Event> m_events ABSL_GUARDED_BY(m_mutex);
  std::map<int64_t, Lease> m_leases ABSL_GUARDED_BY(m_mutex);
  int64_t m_revision ABSL_GUARDED_BY(m_mutex) = 1;
  int64_t m_history_from ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_next_lease ABSL_GUARDED_BY(m_mutex) = 1;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::atomic<int64_t> m_calls = 0;
  std::atomic<int64_t> m_too_large_writes = 0;
  StandinServer m_server;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_STANDINS_PLATFORM_STORE_STANDIN_H_
