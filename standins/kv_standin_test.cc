#include "standins/kv_standin.h"

#include <atomic>
#include <thread>

#include <doctest/doctest.h>

#include "store/kv_client.h"
#include "store/kv_watch.h"

namespace bronzecross {
namespace {

constexpr Millis kTimeout{1000};

}  // namespace

TEST_CASE("of two writers on one revision one wins") {
  KvStandin kv;
  KvClient client({kv.Url()}, kTimeout);
  CHECK(client.Commit({{"a", "1", 0}}).has_value());
  const Result<int64_t> second = client.Commit({{"a", "2", 0}});
  REQUIRE_FALSE(second.has_value());
  CHECK(second.error().m_code == ResultCode::kConflict);
  const Result<std::optional<KvEntry>> entry = client.Get("a");
  CHECK((*entry)->m_value == "1");
  CHECK(client.Commit({{"a", "3", (*entry)->m_mod_revision}}).has_value());
}

// Guards against a write that took effect but counts as failed because its
// answer was lost, and the reverse.
TEST_CASE("lost answers are read back") {
  KvStandin kv;
  KvClient client({kv.Url()}, kTimeout);
  kv.SetFaults({false, Millis(0), 1.0});
  CHECK(client.Commit({{"a", "mine", 0}}).has_value());
  const Result<int64_t> late = client.Commit({{"a", "other", 0}});
  REQUIRE_FALSE(late.has_value());
  CHECK(late.error().m_code == ResultCode::kConflict);
  CHECK(kv.Get("a") == "mine");
}

TEST_CASE("an outage fails all calls, and the state survives it") {
  KvStandin kv;
  KvClient client({kv.Url()}, kTimeout);
  CHECK(client.Commit({{"a", "1", 0}}).has_value());
  kv.SetFaults({true, Millis(0), 0});
  CHECK(client.Get("a").error().m_code == ResultCode::kStoreUnavailable);
  kv.SetFaults({});
  CHECK((*client.Get("a"))->m_value == "1");
}

TEST_CASE("keys under a revoked lease vanish") {
  KvStandin kv;
  KvClient client({kv.Url()}, kTimeout);
  const Result<KvLease> lease = client.GrantLease(Millis(5000));
  REQUIRE(lease.has_value());
  CHECK(client.Commit({{"a", "1", 0, lease->m_id}}).has_value());
  CHECK(client.KeepLeaseAlive(lease->m_id).has_value());
  CHECK(client.RevokeLease(lease->m_id).has_value());
  CHECK_FALSE((*client.Get("a")).has_value());
  CHECK(client.KeepLeaseAlive(lease->m_id).error().m_code ==
        ResultCode::kNotFound);
}

TEST_CASE("a watch sees each change from its first revision on") {
  KvStandin kv;
  KvClient client({kv.Url()}, kTimeout);
  const Result<int64_t> first = client.Commit({{"p/a", "1", 0}});
  CHECK(client.Commit({{"p/b", "2", 0}}).has_value());
  CHECK(client.Commit({{"q", "3", 0}}).has_value());
  CancelToken cancel;
  std::string seen;
  WatchPrefix(client, "p/", *first, Millis(5000), cancel,
              [&](const KvChange& change) {
                seen += change.m_entry.m_key + change.m_entry.m_value + " ";
                if (change.m_entry.m_key == "p/b") {
                  cancel.Cancel();
                }
              });
  CHECK(seen == "p/a1 p/b2 ");
}

}  // namespace bronzecross
