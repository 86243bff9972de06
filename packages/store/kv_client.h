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
  // The lease that the key stands under; 0: none.
  int64_t m_lease = 0;
};

struct KvRange {
  std::vector<KvEntry> m_entries;
  // The store's revision at the time of the read.
  int64_t m_revision = 0;
};

// Sets `m_key` if its mod revision still is `m_expected` (0: it must not
// exist).
struct KvWrite {
  std::string m_key;
  std::string m_value;
  int64_t m_expected_revision = 0;
  int64_t m_lease = 0;
  // Deletes the key in place of setting it.
  bool m_delete = false;
  // Only checks the revision and changes nothing.
  bool m_check_only = false;
};

struct KvLease {
  int64_t m_id = 0;
  // On the monotonic clock; counted from before the request was sent.
  Millis m_expires;
};

// Thread-safe. Each call blocks for at most the time-out. All calls fail with
// kStoreUnavailable when the store can't be reached; a failed write may have
// taken effect (the error's run state is kUnknown then).
class KvClient {
 public:
  KvClient(std::vector<std::string> endpoints, Millis timeout);

  // The entry under `key`, or nothing if there is none.
  Result<std::optional<KvEntry>> Get(std::string_view key);
  // All entries whose key starts with `prefix`, in key order; without those
  // whose mod revision is lower than `min_mod_revision`.
  Result<KvRange> List(std::string_view prefix, int64_t min_mod_revision = 0);

  // Applies all `writes` or none. Returns the new revision; fails with
  // kConflict if one key's revision is not the expected one. Values must differ
  // from writer to writer (a random token): when the answer is lost the keys
  // are read back, and the write counts as done if the values are the own ones.
  Result<int64_t> Commit(const std::vector<KvWrite>& writes);

  Result<KvLease> GrantLease(Millis ttl);
  // Renews; fails with kNotFound if the lease has ended.
  Result<KvLease> KeepLeaseAlive(int64_t id);
  Status RevokeLease(int64_t id);

  // Calls sent so far.
  int64_t Calls() const { return m_calls; }

  const std::vector<std::string>& Endpoints() const { return m_endpoints; }
  HttpClient& Http() { return m_http; }

 private:
  Result<nlohmann::json> Post(std::string_view path,
                              const nlohmann::json& body);
  Result<int64_t> ReadBack(const std::vector<KvWrite>& writes,
                           const Error& lost);

  const std::vector<std::string> m_endpoints;
  const Millis m_timeout;
  HttpClient m_http;
  std::atomic<size_t> m_current = 0;
  std::atomic<int64_t> m_calls = 0;
};

// The first key after all keys that start with `prefix`.
std::string PrefixEnd(std::string_view prefix);

}  // namespace bronzecross

#endif  // BRONZECROSS_STORE_KV_CLIENT_H_
