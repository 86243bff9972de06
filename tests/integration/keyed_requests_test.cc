// Requests with an Idempotency-Key through several VMs, kills, pauses and store
// outages.

#include <algorithm>
#include <thread>

#include <doctest/doctest.h>

#include "harness/cluster.h"
#include "receipts/shard_assignment.h"
#include "receipts/shard_record.h"

namespace bronzecross {
namespace {

using nlohmann::json;

ClusterOptions Options(int vms) {
  ClusterOptions options;
  options.m_vms = vms;
  options.m_engines.resize(1);
  return options;
}

struct Outcome {
  int m_status = 0;
  std::string m_body;
  std::string m_run;
  std::string m_code;
};

Outcome Send(Cluster& cluster,
             int vm,
             const std::string& key,
             const std::string& body,
             const std::string& path = "/desk/receipts") {
  const Result<HttpAnswer> answer =
      cluster.Caller().Call("POST", cluster.Url(vm) + path, Cluster::Key(0),
                            body, {{"Idempotency-Key", key}});
  if (!answer) {
    return Outcome{0, answer.error().m_message, "", ""};
  }
  Outcome outcome{answer->m_status, answer->m_body, "", ""};
  outcome.m_run = FindHeader(answer->m_headers, "X-Bronzecross-Run");
  if (!outcome.m_run.empty()) {
    outcome.m_code = json::parse(answer->m_body)["error"].value("code", "");
  }
  return outcome;
}

int Runs(Cluster& cluster, const std::string& body) {
  return cluster.Service(0).RunsByBody()[body];
}

// The cluster's VM number of the owner of `key`'s shard.
int OwnerOf(Cluster& cluster, const std::string& key) {
  const int shard = ShardOf(ReceiptId("ws-0", key));
  const Result<ShardRecord> record = ParseShardRecord(
      cluster.Kv().Get("/bronzecross/receipts/" + std::to_string(shard)));
  return record && !record->m_owner.empty() ? record->m_owner.back() - '0' : -1;
}

}  // namespace

TEST_CASE("a key's request runs once, whichever VM it is sent through") {
  Cluster cluster(Options(3));
  for (int i = 0; i < 6; ++i) {
    const std::string key = "key " + std::to_string(i);
    const std::string body = "body " + std::to_string(i);
    const Outcome first = Send(cluster, i % 3, key, body);
    REQUIRE(first.m_status == 200);
    for (int vm = 0; vm < 3; ++vm) {
      CHECK(Send(cluster, vm, key, body).m_body == first.m_body);
      const Outcome other = Send(cluster, vm, key, "another body");
      CHECK(other.m_status == 422);
      CHECK(other.m_code == "idempotency_mismatch");
      CHECK(other.m_run == "not_run");
    }
    CHECK(Runs(cluster, body) == 1);
  }
  CHECK(Runs(cluster, "another body") == 0);

  cluster.Service(0).SetDelay(Millis(300));
  std::vector<std::thread> threads;
  std::vector<Outcome> outcomes(9);
  for (size_t i = 0; i < outcomes.size(); ++i) {
    threads.emplace_back([&, i] {
      outcomes[i] = Send(cluster, static_cast<int>(i % 3), "shared", "shared");
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (const Outcome& outcome : outcomes) {
    CHECK(outcome.m_status == 200);
    CHECK(outcome.m_body == outcomes[0].m_body);
  }
  CHECK(Runs(cluster, "shared") == 1);

  const std::string chat =
      R"({"model":"m","max_tokens":4,"messages":[{"role":"user","content":"x"}],"stream":true})";
  const Outcome stream = Send(cluster, 0, "chat", chat, "/v1/chat/completions");
  CHECK(stream.m_status == 200);
  CHECK(stream.m_body.find("[DONE]") != std::string::npos);
  CHECK(Send(cluster, 1, "chat", chat, "/v1/chat/completions").m_body ==
        stream.m_body);
  CHECK(cluster.Engine(0).Started() == 1);
}

// Guards against a second run after the owner is killed or paused in mid-run,
// and against a refusal that claims "not_run".
TEST_CASE("a lost owner's running request is unknown and never runs twice") {
  for (const bool kill : {true, false}) {
    Cluster cluster(Options(4));
    // Room for both requests at once.
    cluster.GetManifest().m_upstreams.back().m_slots = 8;
    const int64_t generation = cluster.Publish();
    REQUIRE(WaitFor([&] {
      for (int vm = 0; vm < 4; ++vm) {
        if (cluster.Status(vm).value("generation", int64_t{0}) < generation) {
          return false;
        }
      }
      return true;
    }));
    REQUIRE(Send(cluster, 0, "k", "warm up").m_status == 200);
    const int owner = OwnerOf(cluster, "k");
    const int entry = (owner + 1) % 4;
    // Long enough that both run when the owner is lost, on a busy machine too.
    cluster.Service(0).SetDelay(Millis(4000));
    // Keys of the same shard.
    std::vector<std::string> keys;
    for (int i = 0; keys.size() < 2; ++i) {
      const std::string key = "key " + std::to_string(i);
      if (ShardOf(ReceiptId("ws-0", key)) == ShardOf(ReceiptId("ws-0", "k"))) {
        keys.push_back(key);
      }
    }
    Outcome plain;
    Outcome repeated;
    std::thread first([&] { plain = Send(cluster, entry, keys[0], "plain"); });
    std::thread second([&] {
      repeated = Send(cluster, entry, keys[1], "again", "/desk/lookup");
    });
    CHECK(WaitFor([&] {
      return Runs(cluster, "plain") == 1 && Runs(cluster, "again") == 1;
    }));
    if (kill) {
      cluster.Vm(owner).Kill();
    } else {
      cluster.Vm(owner).Pause();
    }
    cluster.Service(0).SetDelay(Millis(2));
    first.join();
    second.join();
    CHECK(plain.m_code == "outcome_unknown");
    CHECK(plain.m_run == "unknown");
    CHECK(repeated.m_status == 200);
    if (!kill) {
      cluster.Vm(owner).Resume();
    }
    const int other = (owner + 2) % 4;
    CHECK(Send(cluster, other, keys[0], "plain").m_code == "outcome_unknown");
    CHECK(Send(cluster, other, keys[1], "again", "/desk/lookup").m_body ==
          repeated.m_body);
    CHECK(Runs(cluster, "plain") == 1);
    CHECK(Send(cluster, other, "k", "warm up").m_status == 200);
    CHECK(Runs(cluster, "warm up") == 1);
  }
}

TEST_CASE("owners go on through a store outage; without copies nothing runs") {
  Cluster cluster(Options(3));
  REQUIRE(Send(cluster, 0, "k", "before").m_status == 200);
  KvFaults outage;
  outage.m_outage = true;
  cluster.Kv().SetFaults(outage);
  int answered = 0;
  for (int i = 0; answered < 3; ++i) {
    const std::string key = "key " + std::to_string(i);
    if (ShardOf(ReceiptId("ws-0", key)) == ShardOf(ReceiptId("ws-0", "k"))) {
      CHECK(Send(cluster, i % 3, key, key).m_status == 200);
      ++answered;
    }
  }
  CHECK(Send(cluster, 1, "k", "before").m_status == 200);
  CHECK(Runs(cluster, "before") == 1);
  cluster.Kv().SetFaults({});

  const int left = (OwnerOf(cluster, "k") + 1) % 3;
  for (int vm = 0; vm < 3; ++vm) {
    if (vm != left) {
      cluster.Vm(vm).Kill();
    }
  }
  const Outcome refused = Send(cluster, left, "late", "late");
  CHECK(refused.m_status == 503);
  CHECK(refused.m_run == "not_run");
  CHECK(Runs(cluster, "late") == 0);
}

}  // namespace bronzecross
