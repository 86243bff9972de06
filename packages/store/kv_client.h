// Client of the platform's key-value service, through the JSON gateway of the
// etcd v3 API (range, put, txn, lease, watch).

#ifndef BRONZECROSS_STORE_KV_CLIENT_H_
#define BRONZECROSS_STORE_KV_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "base/error.h"
#include "http/http_client.h"

namespace bronzecross {

struct KvEntry {
  std::string m_key;
  std::string m_value;
  int64_t m_mod_revision = 0;
  // The lease that the key is attached to; 0: none.
  int64_t m_lease = 0;
};

struct KvRange {
  std::vector<KvEntry> m_entries;
  // The store's revision at the time of the read.
  int64_t m_revision = 0;
};

// Sets `m_key` if its mod revision is still `m_expected_revision` (0: the key
// must not exist).
struct KvWrite {
  std::string m_key;
  std::string m_value;
  int64_t m_expected_revision = 0;
  int64_t m_lease = 0;
  // Deletes the key instead of setting it.
  bool m_delete = false;
  // Only checks the revision and changes nothing.
  bool m_check_only = false;
};

struct KvLease {
  int64_t m_id = 0;
  // Expiry on the monotonic clock, counted from before the request was sent.
  Millis m_expires;
};

// Thread-safe. Each call blocks for at most the timeout. All calls fail with
// kStoreUnavailable if the store cannot be reached; a failed write may have
// taken effect (the run state of the error is then kUnknown).
class KvClient {
 public:
  KvClient(std::vector<std::string> endpoints, Millis timeout);

  // Returns the entry of `key`, or std::nullopt if it does not exist.
  Result<std::optional<KvEntry>> Get(std::string_view key);
  // Returns all entries whose keys start with `prefix` and whose mod revision
  // is at least `min_mod_revision`, in key order.
  Result<KvRange> List(std::string_view prefix, int64_t min_mod_revision = 0);

  // Applies all `writes` or none. Returns the new revision; fails with
  // kConflict if the revision of a key is not the expected one. Each writer
  // must write different values (a random token): if the reply is lost, the
  // keys are read back, and the write counts as applied if the values are those
  // of this writer.
  Result<int64_t> Commit(const std::vector<KvWrite>& writes);

  Result<KvLease> GrantLease(Millis ttl);
  // Renews the lease. Fails with kNotFound if it has expired.
  Result<KvLease> KeepLeaseAlive(int64_t id);
  Status RevokeLease(int64_t id);

  // Returns the number of calls sent so far.
  int64_t Calls() const { return m_calls; }

  const std::vector<std::string>& Endpoints() const { return m_endpoints; }
  HttpClient& Http() { return m_http; }

 private:
  Result<nlohmann::json> Post(std::string_view path,
                              const nlohmann::json& body);
  Result<int64_t> ReadBack(const std::vector<KvWrite>& writes,
                           const Error& write_error);

  const std::vector<std::string> m_endpoints;
  const Millis m_timeout;
  HttpClient m_http;
  std::atomic<size_t> m_current_endpoint = 0;
  std::atomic<int64_t> m_calls = 0;
};

// Returns the first key after all keys that start with `prefix`.
std::string PrefixEnd(std::string_view prefix);

}  // namespace bronzecross

#endif  // BRONZECROSS_STORE_KV_CLIENT_H_
