// One request crashes each replica that begins to run it and comes again, with
// the same path, caller and body, at both gateways. Counts how often it reaches
// a replica once it has crashed the third.

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <thread>

#include "base/text.h"
#include "fleet.hpp"

namespace {

using bronzecross::Concat;
using nlohmann::json;
using namespace review;

constexpr int kVms = 2;
constexpr int kReplicas = 5;
constexpr int64_t kContactMs = 3'000;
constexpr int64_t kBackAfterMs = 2'500;
constexpr int64_t kIntervalMs = 2'000;
constexpr int64_t kRunMs = 92'000;
constexpr const char* kPath = "/ask/print-report";
constexpr const char* kBody = "the same report as before";

// A replica that crashes as it begins to run the request, and is back after
// some seconds as a new incarnation.
class Replica {
 public:
  Replica(bronzecross::PlatformStoreStandin& store, int index)
      : m_store(store),
        m_index(index),
        m_server([this](HttpRequest& request) { return Answer(request); }) {
    m_server.Start();
    Register();
  }
  ~Replica() { m_server.Stop(); }

  void Register() {
    ++m_starts;
    const json entry = {{"service", "engine"},
                        {"address", m_server.Address().ToString()},
                        {"zone", Concat("zone-", m_index % 3)},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"coldLeftMs", 0},
                        {"callSeq", 1},
                        {"born", 1'790'000'000'000 + Now()}};
    m_id = Concat("i-", m_index, "-", m_starts);
    m_store.Put(Concat("servers/", m_id), entry.dump());
  }

  // Carries a crash out, and the start after it.
  void Update() {
    if (m_crashed_at == 0) {
      return;
    }
    if (m_server.IsRunning()) {
      m_server.Stop();
      m_store.Remove(Concat("servers/", m_id));
      Record(Concat("replica ", m_id, " has crashed"));
    }
    if (Now() - m_crashed_at >= kBackAfterMs) {
      m_server.Start();
      m_crashed_at = 0;
      Register();
      Record(Concat("replica ", m_id, " is back"));
    }
  }

  static std::vector<int64_t> Arrivals() {
    const std::lock_guard<std::mutex> lock(s_mutex);
    return s_arrivals;
  }

 private:
  HttpReply Answer(HttpRequest& request) {
    const auto header = [&](std::string_view name) {
      return std::string(bronzecross::FindHeader(request.m_headers, name));
    };
    HttpReply reply;
    reply.m_headers.push_back({"Request-Id", header("Request-Id")});
    if (header("Expect-Instance") != m_id) {
      reply.m_status = 421;
      reply.m_headers.push_back({"Not-Run", "1"});
      return reply;
    }
    if (m_crashed_at != 0) {
      reply.m_reader = [](std::span<char>) -> bronzecross::Result<size_t> {
        return bronzecross::Fail(bronzecross::ResultCode::kInternal, "down");
      };
      return reply;
    }
    if (request.m_path == kPath) {
      {
        const std::lock_guard<std::mutex> lock(s_mutex);
        s_arrivals.push_back(Now());
      }
      Record(Concat("replica ", m_id, " begins to run ", header("Request-Id")));
      if (HasTrouble()) {
        m_crashed_at = Now();
        reply.m_reader = [](std::span<char>) -> bronzecross::Result<size_t> {
          return bronzecross::Fail(bronzecross::ResultCode::kInternal, "crash");
        };
        return reply;
      }
    }
    reply.m_headers.push_back({"Server-Stamp", Concat("stamp-", m_id)});
    reply.m_body = Concat("answer to ", header("Request-Id"));
    return reply;
  }

  static inline std::mutex s_mutex;
  static inline std::vector<int64_t> s_arrivals;
  bronzecross::PlatformStoreStandin& m_store;
  const int m_index;
  int m_starts = 0;
  std::string m_id;
  std::atomic<int64_t> m_crashed_at = 0;
  bronzecross::StandinServer m_server;
};

}  // namespace

int main() {
  bronzecross::PlatformStoreStandin store;
  FleetOptions options;
  options.m_vms = kVms;
  options.m_routes = {MakeRoute("ask", "/ask/", "non_idempotent", "engine")};
  Fleet fleet(store, options);
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(store, i));
  }
  if (!fleet.Start()) {
    fleet.Finish(kCouldNotRun);
  }
  std::atomic<bool> stopped = false;
  // Other requests show that gateways and replicas serve.
  std::atomic<int> others = 0;
  std::atomic<int> served = 0;
  std::thread ordinary([&] {
    for (int i = 0; !stopped; ++i) {
      const Answer answer =
          fleet.Call(i % kVms, "POST", Concat("/ask/other-", i),
                     Concat("other-", i), "another", 2'000);
      Record(Concat("other-", i, " to ", fleet.VmId(i % kVms), ": answered ",
                    answer.m_status));
      ++others;
      served += answer.m_status == 200 ? 1 : 0;
      bronzecross::SleepFor(Millis(250));
    }
  });
  const int64_t began = Now();
  int attempt = 0;
  int64_t next = began;
  while (Now() - began < kRunMs) {
    if (Now() >= next) {
      next += kIntervalMs;
      const int vm = attempt % kVms;
      const std::string id = Concat("again-", attempt++);
      Record(Concat("client sends ", id, " to ", fleet.VmId(vm)));
      const Answer answer = fleet.Call(vm, "POST", kPath, id, kBody, 2'000);
      Record(Concat("client gets ", answer.m_status, " for ", id));
    }
    for (const std::unique_ptr<Replica>& replica : replicas) {
      replica->Update();
    }
    bronzecross::SleepFor(Millis(20));
  }
  stopped = true;
  ordinary.join();
  const std::vector<int64_t> arrivals = Replica::Arrivals();
  Record(Concat("sent ", attempt, " times; began to run ", arrivals.size(),
                " times; other requests: ", others.load(), ", answered 200: ",
                served.load()));
  if (served < others / 2 || arrivals.size() < 3) {
    fleet.Finish(kCouldNotRun);
  }
  if (!HasTrouble()) {
    fleet.Finish(kHeld);
  }
  const int64_t third = arrivals[2];
  const auto late =
      std::count_if(arrivals.begin(), arrivals.end(),
                    [&](int64_t at) { return at > third + kContactMs; });
  Record(Concat("later than ", kContactMs, " ms after the third crash: ", late,
                "; the rule allows 3"));
  fleet.Finish(late > 3 ? kBroken : kHeld);
}
