// Requests of a non_idempotent route that also has "resumable", while replicas
// lose a few of their answers. Counts the requests that run more than once.

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include "base/text.h"
#include "fleet.hpp"

namespace {

using bronzecross::Concat;
using nlohmann::json;
using namespace review;

constexpr int kVms = 2;
constexpr int kReplicas = 4;
constexpr int kRequests = 600;
constexpr int64_t kIntervalMs = 20;
// For kLossMs, half of the replicas lose the answer of every twentieth request.
constexpr int kLosesEvery = 20;
constexpr int64_t kLossFromMs = 3'000;  // after the first request
constexpr int64_t kLossMs = 4'000;

// When the first request was sent.
std::atomic<int64_t> g_began = 0;

bool IsLossTime() {
  const int64_t passed = Now() - g_began - kLossFromMs;
  return g_began != 0 && passed >= 0 && passed < kLossMs;
}

class Replica {
 public:
  Replica(bronzecross::PlatformStoreStandin& store, int index)
      : m_id(Concat("i-", index)),
        m_loses(index % 2 == 0 && HasTrouble()),
        m_server([this](HttpRequest& request) { return Answer(request); }) {
    m_server.Start();
    const json entry = {{"service", "engine"},
                        {"address", m_server.Address().ToString()},
                        {"zone", Concat("zone-", index % 3)},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"coldLeftMs", 0},
                        {"callSeq", 1},
                        {"born", 1'790'000'000'000}};
    store.Put(Concat("servers/", m_id), entry.dump());
  }
  ~Replica() { m_server.Stop(); }

  static std::map<std::string, int> Runs() {
    const std::lock_guard<std::mutex> lock(s_mutex);
    return s_runs;
  }
  static int Lost() { return s_lost; }

 private:
  HttpReply Answer(HttpRequest& request) {
    const std::string id(
        bronzecross::FindHeader(request.m_headers, "Request-Id"));
    HttpReply reply;
    reply.m_headers.push_back({"Request-Id", id});
    if (bronzecross::FindHeader(request.m_headers, "Expect-Instance") != m_id) {
      reply.m_status = 421;
      reply.m_headers.push_back({"Not-Run", "1"});
      return reply;
    }
    int runs = 0;
    {
      const std::lock_guard<std::mutex> lock(s_mutex);
      runs = ++s_runs[id];
    }
    Record(Concat(m_id, " runs ", id, " as run ", runs));
    bronzecross::SleepFor(Millis(30));
    reply.m_headers.push_back({"Server-Stamp", Concat("stamp-", m_id)});
    reply.m_body = Concat("receipt for ", id);
    if (m_loses && IsLossTime() && ++s_answers % kLosesEvery == 0) {
      ++s_lost;
      Record(Concat(m_id, " has run ", id, " and loses its answer"));
      reply.m_body.clear();
      reply.m_reader = [](std::span<char>) -> bronzecross::Result<size_t> {
        return bronzecross::Fail(bronzecross::ResultCode::kInternal, "lost");
      };
    }
    return reply;
  }

  static inline std::mutex s_mutex;
  static inline std::map<std::string, int> s_runs;
  static inline std::atomic<int> s_lost = 0;
  // Answers of all replicas that lose some, while they do.
  static inline std::atomic<int> s_answers = 0;
  const std::string m_id;
  const bool m_loses;
  bronzecross::StandinServer m_server;
};

}  // namespace

int main() {
  bronzecross::PlatformStoreStandin store;
  FleetOptions options;
  options.m_vms = kVms;
  json once = MakeRoute("once", "/once/", "non_idempotent", "engine");
  once["maxAttempts"] = 2;
  once["resumable"] = true;
  options.m_routes = {once};
  Fleet fleet(store, options);
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(store, i));
  }
  if (!fleet.Start()) {
    fleet.Finish(kCouldNotRun);
  }
  std::atomic<int> answered = 0;
  std::vector<std::thread> clients;
  const int64_t began = Now();
  g_began = began;
  for (int i = 0; i < kRequests; ++i) {
    while (Now() < began + i * kIntervalMs) {
      bronzecross::SleepFor(Millis(2));
    }
    clients.emplace_back([&, i] {
      const std::string id = Concat("once-", i);
      Record(Concat("client sends ", id, " to ", fleet.VmId(i % kVms)));
      const Answer answer = fleet.Call(i % kVms, "POST", "/once/receipt", id,
                                       Concat("order ", i), 1'500);
      answered += answer.m_status == 200 ? 1 : 0;
      Record(Concat("client gets ", answer.m_status, " for ", id));
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  const std::map<std::string, int> runs = Replica::Runs();
  const auto twice = std::count_if(runs.begin(), runs.end(),
                                   [](const auto& run) { return run.second > 1; });
  Record(Concat("sent ", kRequests, ", answered 200: ", answered.load(),
                ", answers lost by replicas: ", Replica::Lost(),
                ", requests that ran more than once: ", twice,
                "; the rule allows none"));
  if (answered < kRequests / 2 || (HasTrouble() && Replica::Lost() == 0)) {
    fleet.Finish(kCouldNotRun);
  }
  fleet.Finish(twice > 0 ? kBroken : kHeld);
}
