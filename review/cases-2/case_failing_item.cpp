// A batch job has one item that fails with 500 at each run. The two gateways
// are stopped with SIGTERM and started again in turn, so that the job changes
// its owner. Counts the answers of 500 and the runs after the last one that the
// rule allows.

#include <signal.h>

#include <atomic>
#include <mutex>
#include <thread>

#include "base/base64.h"
#include "base/text.h"
#include "fleet.hpp"

namespace {

using bronzecross::Concat;
using nlohmann::json;
using namespace review;

constexpr int kVms = 2;
constexpr int kMaxAttempts = 3;
constexpr int kAllowedFailures = 3 * kMaxAttempts;
constexpr int64_t kContactMs = 3'000;
constexpr int64_t kGapMs = 6'500;
constexpr int kStops = 8;
constexpr Millis kWork{1'800};
constexpr const char* kJob = "job-1";

// When each gateway was last started, stopped or signalled.
std::atomic<int64_t> g_disturbed[kVms];

class Replica {
 public:
  explicit Replica(bronzecross::PlatformStoreStandin& store)
      : m_server([this](HttpRequest& request) { return Answer(request); }) {
    m_server.Start();
    const json entry = {{"service", "engine"},
                        {"address", m_server.Address().ToString()},
                        {"zone", "zone-0"},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"coldLeftMs", 0},
                        {"callSeq", 1},
                        {"born", 1'790'000'000'000}};
    store.Put("servers/i-1", entry.dump());
  }
  ~Replica() { m_server.Stop(); }

  int Failures() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_failures;
  }
  // Runs that began after all allowed failures had been answered, while all
  // gateways were in touch.
  int RunsTooMany() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_too_many;
  }

 private:
  HttpReply Answer(HttpRequest& request) {
    const std::string id(
        bronzecross::FindHeader(request.m_headers, "Request-Id"));
    HttpReply reply;
    reply.m_headers.push_back({"Request-Id", id});
    if (bronzecross::FindHeader(request.m_headers, "Expect-Instance") !=
        "i-1") {
      reply.m_status = 421;
      reply.m_headers.push_back({"Not-Run", "1"});
      return reply;
    }
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      int in_touch = 0;
      for (const std::atomic<int64_t>& disturbed : g_disturbed) {
        in_touch += Now() - disturbed > kContactMs ? 1 : 0;
      }
      Record(Concat("the replica begins to run ", id, " after ", m_failures,
                    " answers of 500; gateways in touch: ", in_touch));
      m_too_many += m_failures >= kAllowedFailures && in_touch > 0 ? 1 : 0;
    }
    bronzecross::SleepFor(kWork);
    const std::lock_guard<std::mutex> lock(m_mutex);
    reply.m_headers.push_back({"Server-Stamp", "stamp-i-1"});
    if (HasTrouble() || m_failures < kMaxAttempts - 1) {
      ++m_failures;
      reply.m_status = 500;
      reply.m_body = "failed";
    } else {
      reply.m_headers.push_back({"Content-Type", "text/event-stream"});
      reply.m_body = "id: 1\ndata: done\n\n";
    }
    return reply;
  }

  std::mutex m_mutex;
  int m_failures = 0;
  int m_too_many = 0;
  bronzecross::StandinServer m_server;
};

}  // namespace

int main() {
  bronzecross::PlatformStoreStandin store;
  FleetOptions options;
  options.m_vms = kVms;
  options.m_routes = {MakeRoute("lots", "/lots/", "bulk", "engine")};
  Fleet fleet(store, options);
  Replica replica(store);
  if (!fleet.Start()) {
    fleet.Finish(kCouldNotRun);
  }
  bronzecross::SleepFor(Millis(2'500));
  json body;
  body["items"] = {{{"id", "item-1"},
                    {"path", "/lots/run"},
                    {"headers", {{"Model", "m"}}},
                    {"body", bronzecross::Base64Encode("question")},
                    {"tokens", 100}}};
  const Answer accepted =
      fleet.Call(0, "POST", "/lots/x", kJob, body.dump(), 4'000);
  Record(Concat("the job is answered ", accepted.m_status));
  if (accepted.m_status != 202) {
    fleet.Finish(kCouldNotRun);
  }
  bronzecross::SleepFor(Millis(2'500));
  for (int stop = 0; stop < kStops; ++stop) {
    const int vm = stop % kVms;
    const int64_t began = Now();
    Record(Concat("SIGTERM to ", fleet.VmId(vm)));
    g_disturbed[vm] = Now() + 20'000;
    fleet.Vm(vm).Signal(SIGTERM);
    if (fleet.Vm(vm).Wait(Millis(8'000)) < 0) {
      fleet.Vm(vm).Kill();
    }
    fleet.StartVm(vm);
    g_disturbed[vm] = Now();
    while (Now() - began < kGapMs) {
      bronzecross::SleepFor(Millis(10));
    }
  }
  bronzecross::SleepFor(Millis(5'000));
  const Answer page = fleet.Call(
      1, "GET", Concat("/api/lots/", kJob, "?after=0"), "read-1", "", 4'000);
  Record(Concat("the results: ", page.m_status, " ", page.m_body));
  Record(Concat("answers of 500: ", replica.Failures(), "; runs after ",
                kAllowedFailures, " of them: ", replica.RunsTooMany(),
                "; the rule allows none"));
  fleet.Finish(replica.RunsTooMany() > 0 ? kBroken : kHeld);
}
