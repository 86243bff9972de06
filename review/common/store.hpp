// Stand-in for the platform's metadata store. All VMs share one state; each VM
// reaches it at an address of its own, so that a fault can be limited to one VM
// and each call be attributed.

#ifndef REVIEW_COMMON_STORE_HPP_
#define REVIEW_COMMON_STORE_HPP_

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include "standins/standin_server.h"

namespace review {

using bronzecross::HttpReply;
using bronzecross::HttpRequest;
using bronzecross::Millis;
using bronzecross::NetAddress;

// Faults towards one VM.
struct StoreFaults {
  bool m_busy = false;  // every call is answered 503 and does nothing
  // Writes of a key that contains m_late_key take effect this much later and
  // are never answered; zero: normal.
  Millis m_late_write;
  std::string m_late_key;
  Millis m_answer_time{4};
};

class Store {
 public:
  explicit Store(int vms);
  ~Store();

  const NetAddress& AddressOf(int vm) const;
  void SetFaults(int vm, const StoreFaults& faults);
  void SetFaultsOfAll(const StoreFaults& faults);

  // Writes as the operator or a server would.
  void Put(const std::string& key, const std::string& value);
  int Count(std::string_view prefix);
  // Number of reads of ranges with exactly this prefix by a VM.
  int CountRanges(int vm, const std::string& prefix);

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

  HttpReply Handle(int vm, HttpRequest& request);
  HttpReply Get(const HttpRequest& request);
  HttpReply Range(int vm, const HttpRequest& request);
  HttpReply Watch(int vm, const HttpRequest& request);
  HttpReply Transact(int vm, const std::string& body);
  HttpReply Grant(const HttpRequest& request);
  HttpReply Keep(const std::string& id);
  HttpReply End(const std::string& id);

  StoreFaults FaultsOf(int vm);
  void PutLocked(const std::string& key,
                 const std::string& value,
                 int64_t lease) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void RemoveLocked(const std::string& key)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void EndLeaseLocked(int64_t id) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void ExpireLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  absl::Mutex m_mutex;
  std::vector<StoreFaults> m_faults ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, Item> m_items ABSL_GUARDED_BY(m_mutex);
  std::vector<Event> m_events ABSL_GUARDED_BY(m_mutex);
  std::map<int64_t, Lease> m_leases ABSL_GUARDED_BY(m_mutex);
  std::map<std::pair<int, std::string>, int> m_ranges ABSL_GUARDED_BY(m_mutex);
  int64_t m_revision ABSL_GUARDED_BY(m_mutex) = 1;
  int64_t m_next_lease ABSL_GUARDED_BY(m_mutex) = 1;
  std::atomic<bool> m_stopping = false;
  std::vector<std::unique_ptr<bronzecross::StandinServer>> m_servers;
};

}  // namespace review

#endif  // REVIEW_COMMON_STORE_HPP_
