// The demo: four entry VMs in three availability zones serve online and batch
// work, a key is withdrawn and a VM is killed.

#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "harness/cluster.h"
#include "harness/percentile.h"

namespace bronzecross {
namespace {

using nlohmann::json;

// One more than the copies of a ledger, so that a VM can be lost.
constexpr int kVms = 4;
constexpr int kRequests = 60;
constexpr int kItems = 100;

int g_failures = 0;

void Check(bool holds, const char* what) {
  std::printf("%s  %s\n", holds ? "ok    " : "FAILED", what);
  g_failures += holds ? 0 : 1;
}

void RunOnline(Cluster& cluster) {
  std::vector<double> latency;
  std::vector<double> first_token;
  bool correct = true;
  for (int i = 0; i < kRequests; ++i) {
    ChatRequest request;
    request.m_url = cluster.Url(i % cluster.VmCount());
    request.m_key = Cluster::Key(0);
    request.m_prompt = "question " + std::to_string(i);
    request.m_stream = i % 2 == 1;
    const ChatOutcome outcome = cluster.Caller().Chat(request);
    correct = correct && outcome.m_correct;
    latency.push_back(outcome.m_latency_ms);
    if (request.m_stream) {
      first_token.push_back(outcome.m_first_token_ms);
    }
  }
  std::printf(
      "online: latency p50 %.1f ms, p99 %.1f ms; first token p50 "
      "%.1f ms, p95 %.1f ms\n",
      Percentile(latency, 50), Percentile(latency, 99),
      Percentile(first_token, 50), Percentile(first_token, 95));
  Check(correct, "every online answer is whole and the right one");
}

std::string BatchInput() {
  std::string lines;
  for (int i = 0; i < kItems; ++i) {
    lines += json{{"custom_id", "item-" + std::to_string(i)},
                  {"method", "POST"},
                  {"url", "/v1/chat/completions"},
                  {"body",
                   {{"model", "m"},
                    {"max_tokens", 8},
                    {"messages",
                     {{{"role", "user"},
                       {"content", "notice " + std::to_string(i)}}}}}}}
                 .dump() +
             "\n";
  }
  return lines;
}

std::string SubmitJob(Cluster& cluster, int vm) {
  TestCaller& caller = cluster.Caller();
  const json file = caller.CallJson("POST", cluster.Url(vm) + "/v1/files",
                                    Cluster::Key(0), BatchInput());
  const json job =
      caller.CallJson("POST", cluster.Url(vm) + "/v1/batches", Cluster::Key(0),
                      json{{"input_file_id", file.value("id", "")},
                           {"endpoint", "/v1/chat/completions"},
                           {"completion_window", "24h"}}
                          .dump());
  return job.value("id", "");
}

// Waits for the job's end and counts each item's results.
void CheckJob(Cluster& cluster,
              int vm,
              const std::string& id,
              const char* what) {
  json state;
  const bool ended = WaitFor(
      [&] {
        state = cluster.Caller().CallJson(
            "GET", cluster.Url(vm) + "/v1/batches/" + id, Cluster::Key(0));
        return state.is_object() && state.value("status", "") == "completed";
      },
      Millis(30'000));
  std::multiset<std::string> ids;
  if (ended) {
    const Result<HttpAnswer> output = cluster.Caller().Call(
        "GET",
        cluster.Url(vm) + "/v1/files/" +
            state["output_file_id"].get<std::string>() + "/content",
        Cluster::Key(0));
    std::string_view rest = output ? output->m_body : std::string_view();
    while (!rest.empty()) {
      const size_t end = rest.find('\n');
      const json line = json::parse(rest.substr(0, end), nullptr, false);
      if (line.is_object()) {
        ids.insert(line.value("custom_id", ""));
      }
      rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    }
  }
  const std::set<std::string> unique(ids.begin(), ids.end());
  Check(ended && ids.size() == kItems && unique.size() == kItems, what);
}

void WithdrawKey(Cluster& cluster) {
  const Millis start = MonotonicNow();
  cluster.GetManifest().m_keys[1].m_withdrawn = true;
  cluster.Publish();
  bool refused = true;
  for (int vm = 0; vm < cluster.VmCount(); ++vm) {
    refused = WaitFor([&] {
                const Result<HttpAnswer> answer = cluster.Caller().Call(
                    "GET", cluster.Url(vm) + "/v1/models", Cluster::Key(1));
                return answer && answer->m_status == 401;
              }) &&
              refused;
  }
  std::printf("keys: withdrawn everywhere after %lld ms\n",
              static_cast<long long>((MonotonicNow() - start).count()));
  Check(refused, "a withdrawn key is refused on every VM");
}

// Kills the VM that took a job while the job runs. Its data folder and its
// place as the job's owner are lost with it.
void KillVm(Cluster& cluster) {
  const std::string job = SubmitJob(cluster, 0);
  cluster.Vm(0).Kill();
  const Millis start = MonotonicNow();
  CheckJob(cluster, 1, job, "a killed VM's job is done exactly once elsewhere");
  std::printf("batch: the job of the killed VM ended after %lld ms\n",
              static_cast<long long>((MonotonicNow() - start).count()));
}

void Serve(Cluster& cluster, int seconds, const char* url_file) {
  std::ofstream(url_file) << cluster.Url(0) << "\n";
  std::printf("serving %s for %d s with the key \"%s\"\n",
              cluster.Url(0).c_str(), seconds, Cluster::Key(0).c_str());
  std::fflush(stdout);
  SleepFor(Millis(seconds * 1000));
}

int RunDemo(int serve_seconds, const char* url_file) {
  std::printf("starting 3 engines, 1 plain service, the store and 4 VMs\n");
  ClusterOptions options;
  options.m_vms = kVms;
  options.m_data_vms = kVms;
  Cluster cluster(options);
  if (serve_seconds > 0) {
    Serve(cluster, serve_seconds, url_file);
    return 0;
  }
  RunOnline(cluster);
  const std::string first = SubmitJob(cluster, 0);
  CheckJob(cluster, 1, first, "a batch job is done exactly once");
  WithdrawKey(cluster);
  KillVm(cluster);
  std::printf("%s\n", g_failures == 0 ? "demo: all checks hold"
                                      : "demo: some checks FAILED");
  return g_failures == 0 ? 0 : 1;
}

}  // namespace
}  // namespace bronzecross

int main(int argc, const char** argv) {
  signal(SIGPIPE, SIG_IGN);
  int seconds = 0;
  const char* url_file = "demo.url";
  for (int i = 1; i + 1 < argc; i += 2) {
    const std::string_view option = argv[i];
    if (option == "--serve") {
      seconds = std::atoi(argv[i + 1]);
    } else if (option == "--url-file") {
      url_file = argv[i + 1];
    }
  }
  return bronzecross::RunDemo(seconds, url_file);
}
