// Stand-in for the platform's key-value service: the JSON gateway of the etcd
// v3 API (range, put, txn, lease, watch) with switchable faults. It counts each
// call; a waiting watch counts as one.

#ifndef BRONZECROSS_STANDINS_KV_STANDIN_H_
#define BRONZECROSS_STANDINS_KV_STANDIN_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include "base/random.h"
#include "standins/standin_server.h"

namespace bronzecross {

struct KvFaults {
  // All calls fail with 503 and open watches are cut.
  bool m_outage = false;
  Millis m_delay;
  // Share of writes that take effect but whose answer is lost.
  double m_lose_answers = 0;
};

class KvStandin {
 public:
  explicit KvStandin(uint64_t seed = 1);
  ~KvStandin();

  std::string Url() const { return m_server.Url(); }
  void SetFaults(const KvFaults& faults);

  int64_t Reads() const { return m_reads; }
  int64_t Writes() const { return m_writes; }
  int64_t Calls() const { return m_reads + m_writes; }

  // The value under `key`, or an empty string.
  std::string Get(const std::string& key);

 private:
  struct Entry {
    std::string m_value;
    int64_t m_create_revision = 0;
    int64_t m_mod_revision = 0;
    int64_t m_version = 0;
    int64_t m_lease = 0;
  };
  struct Event {
    int64_t m_revision = 0;
    bool m_deleted = false;
    std::string m_key;
    Entry m_entry;
  };
  struct Lease {
    Millis m_ttl;
    Millis m_expires;
  };

  HttpReply Handle(HttpRequest& request);
  HttpReply Dispatch(const std::string& path, const nlohmann::json& body);
  nlohmann::json Range(const nlohmann::json& body)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  nlohmann::json Txn(const nlohmann::json& body)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  nlohmann::json Put(const nlohmann::json& body, int64_t revision)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  nlohmann::json Delete(const nlohmann::json& body, int64_t revision)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  bool Compare(const nlohmann::json& comparison)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void EndLease(int64_t id) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void ExpireLeases() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  HttpReply Watch(const nlohmann::json& body, int client_fd);
  Result<size_t> ReadWatch(const std::string& begin,
                           const std::string& end,
                           int64_t& next,
                           std::string& pending,
                           int client_fd,
                           std::span<char> buffer);
  nlohmann::json Header() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  std::atomic<int64_t> m_reads = 0;
  std::atomic<int64_t> m_writes = 0;
  std::atomic<bool> m_stopping = false;
  absl::Mutex m_mutex;
  KvFaults m_faults ABSL_GUARDED_BY(m_mutex);
  Random m_random ABSL_GUARDED_BY(m_mutex);
  int64_t m_revision ABSL_GUARDED_BY(m_mutex) = 1;
  int64_t m_next_lease ABSL_GUARDED_BY(m_mutex) = 1000;
  std::map<std::string, Entry> m_entries ABSL_GUARDED_BY(m_mutex);
  std::map<int64_t, Lease> m_leases ABSL_GUARDED_BY(m_mutex);
  std::vector<Event> m_events ABSL_GUARDED_BY(m_mutex);
  StandinServer m_server;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_STANDINS_KV_STANDIN_H_
