// Batch jobs with real processes: exactly-once submission and results under
// kills, pauses, lost answers of the store and crashing upstreams.

#include <signal.h>

#include <doctest/doctest.h>

#include "harness/batch_caller.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kLong{40'000};

// The VM that the store names as the owner of `job`; -1: none.
int OwnerOf(Cluster& cluster, const std::string& job) {
  const json record =
      json::parse(cluster.Kv().Get("/bronzecross/jobs/" + job), nullptr, false);
  const std::string owner = record.is_object() ? record.value("owner", "") : "";
  return owner.empty() ? -1 : std::stoi(owner.substr(owner.find('-') + 1));
}

std::vector<int> Others(const Cluster& cluster, int vm) {
  std::vector<int> others;
  for (int i = 0; i < cluster.VmCount(); ++i) {
    if (i != vm) {
      others.push_back(i);
    }
  }
  return others;
}

int64_t Ended(BatchCaller& caller, int vm, const std::string& job) {
  const json batch = caller.Get(vm, job);
  return batch.is_object() && batch.contains("request_counts")
             ? batch["request_counts"].value("completed", int64_t{0})
             : 0;
}

int MostRuns(const std::map<std::string, int>& runs) {
  int most = 0;
  for (const auto& [body, count] : runs) {
    most = std::max(most, count);
  }
  return most;
}

bool EachOnce(const BatchResult& result, size_t items) {
  bool once = result.m_lines.size() == items;
  for (const auto& [id, count] : result.m_lines) {
    once = once && count == 1;
  }
  return once;
}

}  // namespace

TEST_CASE("a resent submission gets the first job, another body is refused") {
  Cluster cluster({});
  BatchCaller caller(cluster);
  BatchSpec spec;
  spec.m_chat_items = 30;
  const std::string file = caller.Upload(0, spec, kLong);
  const json first = caller.Submit(0, file, "key-a");
  REQUIRE(first.contains("id"));
  CHECK(caller.Submit(1, file, "key-a")["id"] == first["id"]);
  CHECK(caller.Submit(1, file, "key-a", "1h")["error"]["code"] ==
        "idempotency_mismatch");
  // The accepting VM dies with the answer on its way.
  cluster.Vm(0).Kill();
  CHECK(caller.Submit(2, file, "key-a")["id"] == first["id"]);
  const std::string job = first["id"];
  CHECK(caller.WaitEnded({1, 2}, job, kLong) == "completed");
  const BatchResult result = caller.Read(1, job, spec);
  CHECK(result.m_readable);
  CHECK(EachOnce(result, 30));
  CHECK(result.m_wrong == 0);
}

// Guards against one bad line or item that fails or blocks the whole job.
TEST_CASE("bad lines, duplicates and impossible items end as failed items") {
  Cluster cluster({});
  BatchCaller caller(cluster);
  BatchSpec spec;
  spec.m_chat_items = 5;
  spec.m_extra =
      "not json\n"
      R"({"custom_id":"job-chat-1","method":"POST","url":"/v1/chat/completions","body":{"model":"m"}})"
      "\n"
      R"({"custom_id":"model","method":"POST","url":"/v1/chat/completions","body":{"model":"none"}})"
      "\n"
      R"({"custom_id":"route","method":"POST","url":"/nowhere","body":{}})"
      "\n";
  const std::string job =
      caller.Submit(0, caller.Upload(0, spec, kLong), "k")["id"];
  CHECK(caller.WaitEnded({0, 1, 2}, job, kLong) == "completed");
  BatchResult result = caller.Read(2, job, spec);
  CHECK(result.m_succeeded == 5);
  CHECK(result.m_wrong == 0);
  CHECK(result.m_error_codes[""] == "malformed_body");
  CHECK(result.m_error_codes["job-chat-1"] == "invalid_argument");
  CHECK(result.m_error_codes["model"] == "unknown_model");
  CHECK(result.m_error_codes["route"] == "unknown_route");
}

TEST_CASE("a killed owner's job goes on elsewhere without repeats") {
  ClusterOptions options;
  options.m_vms = 4;
  options.m_data_vms = 4;
  Cluster cluster(options);
  BatchCaller caller(cluster);
  BatchSpec spec;
  spec.m_chat_items = 1500;
  spec.m_tokens = 8;
  spec.m_receipts = 40;
  const std::string job =
      caller.Submit(0, caller.Upload(0, spec, kLong), "k")["id"];
  REQUIRE(WaitFor([&] { return Ended(caller, 1, job) >= 100; }, kLong));
  const int owner = OwnerOf(cluster, job);
  REQUIRE(owner == 0);
  cluster.Vm(owner).Kill();
  CHECK(caller.WaitEnded(Others(cluster, owner), job, kLong) == "completed");
  const BatchResult result = caller.Read(1, job, spec);
  CHECK(EachOnce(result, 1540));
  CHECK(result.m_wrong == 0);
  CHECK(MostRuns(cluster.Service(0).RunsByBody()) <= 1);
  CHECK(OwnerOf(cluster, job) != owner);
}

// Guards against late commits of an owner that was paused while another VM
// took its job over.
TEST_CASE("a paused owner's late commits do not count") {
  ClusterOptions options;
  options.m_vms = 4;
  options.m_data_vms = 4;
  Cluster cluster(options);
  BatchCaller caller(cluster);
  BatchSpec spec;
  spec.m_chat_items = 2000;
  spec.m_tokens = 8;
  spec.m_receipts = 40;
  const std::string job =
      caller.Submit(0, caller.Upload(0, spec, kLong), "k")["id"];
  REQUIRE(WaitFor([&] { return Ended(caller, 1, job) >= 100; }, kLong));
  cluster.Vm(0).Pause();
  CHECK(WaitFor([&] { return OwnerOf(cluster, job) != 0; }, kLong));
  cluster.Vm(0).Resume();
  CHECK(caller.WaitEnded({1, 2, 3}, job, kLong) == "completed");
  const BatchResult result = caller.Read(1, job, spec);
  CHECK(EachOnce(result, 2040));
  CHECK(result.m_wrong == 0);
  CHECK(MostRuns(cluster.Service(0).RunsByBody()) <= 1);
}

TEST_CASE("a cancelled job stops everywhere and stays readable") {
  Cluster cluster({});
  BatchCaller caller(cluster);
  BatchSpec spec;
  spec.m_chat_items = 3000;
  const std::string job =
      caller.Submit(0, caller.Upload(0, spec, kLong), "k")["id"];
  REQUIRE(WaitFor([&] { return Ended(caller, 1, job) >= 50; }, kLong));
  cluster.Caller().CallJson("POST",
                            cluster.Url(1) + "/v1/batches/" + job + "/cancel",
                            Cluster::Key(0));
  CHECK(caller.WaitEnded({2}, job, kLong) == "cancelled");
  const auto running = [&] {
    return cluster.Engine(0).Running() + cluster.Engine(1).Running() +
           cluster.Engine(2).Running();
  };
  CHECK(WaitFor([&] { return running() == 0; }));
  const int64_t started = cluster.Engine(0).Started();
  SleepFor(Millis(300));
  CHECK(cluster.Engine(0).Started() == started);
  const BatchResult result = caller.Read(0, job, spec);
  CHECK(result.m_succeeded >= 50);
  CHECK(result.m_succeeded < 3000);
  CHECK(result.m_wrong == 0);
}

TEST_CASE("a job past its window ends as expired and was announced as late") {
  ClusterOptions options;
  options.m_engines = std::vector<EngineOptions>(1);
  options.m_engines[0].m_slots = 2;
  options.m_engines[0].m_token_interval = Millis(20);
  Cluster cluster(options);
  BatchCaller caller(cluster);
  BatchSpec spec;
  spec.m_chat_items = 500;
  const std::string job =
      caller.Submit(0, caller.Upload(0, spec, kLong), "k", "9s")["id"];
  CHECK(WaitFor(
      [&] { return caller.Get(1, job).value("expected_late", false); }, kLong));
  CHECK(caller.WaitEnded({2}, job, kLong) == "expired");
  const BatchResult result = caller.Read(0, job, spec);
  CHECK(result.m_succeeded > 0);
  CHECK(result.m_succeeded < 500);
}

// Guards against an item that crashes every upstream, and against taking the
// items beside it down with it.
TEST_CASE("an item that crashes upstreams is given up, its company is not") {
  Cluster cluster({});
  BatchCaller caller(cluster);
  BatchSpec spec;
  spec.m_chat_items = 60;
  spec.m_extra =
      json{{"custom_id", "poison"},
           {"method", "POST"},
           {"url", "/v1/chat/completions"},
           {"body",
            {{"model", "m"},
             {"messages",
              {{{"role", "user"}, {"content", std::string(kCrashMark)}}}}}}}
          .dump() +
      "\n";
  const std::string job =
      caller.Submit(0, caller.Upload(0, spec, kLong), "k")["id"];
  std::string state;
  CHECK(WaitFor(
      [&] {
        for (size_t i = 0; i < 3; ++i) {
          if (!cluster.Engine(i).IsRunning()) {
            cluster.Engine(i).Restart();
          }
        }
        state = caller.StateOf(1, job);
        return state == "completed";
      },
      kLong));
  BatchResult result = caller.Read(1, job, spec);
  CHECK(EachOnce(result, 61));
  CHECK(result.m_succeeded == 60);
  CHECK(result.m_error_codes["poison"] != "");
}

}  // namespace bronzecross
