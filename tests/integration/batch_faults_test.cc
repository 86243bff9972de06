// Batch jobs with real processes whose owners are killed and paused, and whose
// items crash upstreams.

#include <algorithm>

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

int MostRuns(const std::map<std::string, int>& runs) {
  int most = 0;
  for (const auto& [body, count] : runs) {
    most = std::max(most, count);
  }
  return most;
}

}  // namespace

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
  REQUIRE(WaitFor([&] { return caller.Ended(1, job) >= 100; }, kLong));
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
  REQUIRE(WaitFor([&] { return caller.Ended(1, job) >= 100; }, kLong));
  cluster.Vm(0).Pause();
  CHECK(WaitFor([&] { return OwnerOf(cluster, job) != 0; }, kLong));
  cluster.Vm(0).Resume();
  CHECK(caller.WaitEnded({1, 2, 3}, job, kLong) == "completed");
  const BatchResult result = caller.Read(1, job, spec);
  CHECK(EachOnce(result, 2040));
  CHECK(result.m_wrong == 0);
  CHECK(MostRuns(cluster.Service(0).RunsByBody()) <= 1);
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
