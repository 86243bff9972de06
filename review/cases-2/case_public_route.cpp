// A configuration adds a public route for the whole host on which a workspace's
// batch jobs are submitted. Reads jobs and bodies and ends a job before and
// after it, at each gateway.

#include <algorithm>
#include <cstdlib>
#include <span>

#include "base/base64.h"
#include "base/text.h"
#include "fleet.hpp"

namespace {

using bronzecross::Concat;
using nlohmann::json;
using namespace review;

constexpr int kVms = 3;
constexpr int kItems = 4;
constexpr int64_t kConfigApplyMs = 2'000;
constexpr int64_t kSettleMs = 1'000;
// The streams of the job that stays open are long.
constexpr int kLongEvents = 150;
constexpr Millis kEventGap{150};

// A sound replica.
class Replica {
 public:
  explicit Replica(bronzecross::PlatformStoreStandin& store)
      : m_server([](HttpRequest& request) { return Answer(request); }) {
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

 private:
  static HttpReply Answer(HttpRequest& request) {
    const std::string id(
        bronzecross::FindHeader(request.m_headers, "Request-Id"));
    Record(Concat("the replica runs ", id));
    HttpReply reply;
    reply.m_headers.push_back({"Request-Id", id});
    if (bronzecross::FindHeader(request.m_headers, "Expect-Instance") !=
        "i-1") {
      reply.m_status = 421;
      reply.m_headers.push_back({"Not-Run", "1"});
      return reply;
    }
    reply.m_headers.push_back({"Server-Stamp", "stamp-i-1"});
    reply.m_headers.push_back({"Content-Type", "text/event-stream"});
    if (!id.starts_with("open")) {
      reply.m_body = Concat("id: 1\ndata: output of ", id, "\n\n");
      return reply;
    }
    const int from = std::atoi(
        std::string(bronzecross::FindHeader(request.m_headers, "Last-Event-Id"))
            .c_str());
    reply.m_reader = [next = from](std::span<char> buffer) mutable
        -> bronzecross::Result<size_t> {
      if (next >= kLongEvents) {
        return size_t{0};
      }
      bronzecross::SleepFor(kEventGap);
      ++next;
      const std::string event = Concat("id: ", next, "\ndata: event\n\n");
      std::copy(event.begin(), event.end(), buffer.begin());
      return event.size();
    };
    return reply;
  }

  bronzecross::StandinServer m_server;
};

std::string JobBody(const std::string& job, int items) {
  json body;
  body["items"] = json::array();
  for (int i = 0; i < items; ++i) {
    body["items"].push_back(
        {{"id", Concat(job, "-", i)},
         {"path", "/lots/run"},
         {"headers", {{"Model", "m"}}},
         {"body", bronzecross::Base64Encode(Concat("body of ", job, "-", i))},
         {"tokens", 100}});
  }
  return body.dump();
}

Answer ReadJob(Fleet& fleet, int vm, const std::string& job) {
  const Answer answer = fleet.Call(
      vm, "GET", Concat("/api/lots/", job, "?after=0"), "", "", 3'000);
  Record(Concat("results of ", job, " at ", fleet.VmId(vm), ": ",
                answer.m_status, " ", answer.m_body.substr(0, 90)));
  return answer;
}

Answer ReadBody(Fleet& fleet, int vm, const std::string& job, int item) {
  const Answer answer =
      fleet.Call(vm, "GET", Concat("/api/items/", job, "?id=", job, "-", item),
                 "", "", 3'000);
  Record(Concat("body of ", job, "-", item, " at ", fleet.VmId(vm), ": ",
                answer.m_status, " ", answer.m_body.substr(0, 40)));
  return answer;
}

}  // namespace

int main() {
  bronzecross::PlatformStoreStandin store;
  FleetOptions options;
  options.m_vms = kVms;
  options.m_routes = {MakeRoute("lots", "/lots/", "bulk", "engine"),
                      MakeRoute("ask", "/ask/", "idempotent", "engine")};
  Fleet fleet(store, options);
  Replica replica(store);
  if (!fleet.Start()) {
    fleet.Finish(kCouldNotRun);
  }
  for (const char* job : {"done-1", "open-1"}) {
    const Answer accepted =
        fleet.Call(0, "POST", "/lots/x", job, JobBody(job, kItems), 4'000);
    Record(Concat(job, " is answered ", accepted.m_status));
    if (accepted.m_status != 202) {
      fleet.Finish(kCouldNotRun);
    }
  }
  bronzecross::SleepFor(Millis(kSettleMs + 4'000));
  // Before the change all of it can be read at each gateway.
  for (int vm = 0; vm < kVms; ++vm) {
    const Answer done = ReadJob(fleet, vm, "done-1");
    const json page = json::parse(done.m_body, nullptr, false);
    if (done.m_status != 200 || !page.is_object() ||
        page["next"] != kItems ||
        ReadJob(fleet, vm, "open-1").m_status != 200 ||
        ReadBody(fleet, vm, "open-1", 0).m_status != 200) {
      fleet.Finish(kCouldNotRun);
    }
  }
  json site = MakeRoute("site", HasTrouble() ? "/" : "/site/", "idempotent",
                        "engine");
  site["public"] = true;
  std::vector<json> routes = options.m_routes;
  routes.push_back(site);
  fleet.Publish(7, routes);
  Record(Concat("the operator publishes version 7 with the public route \"",
                site["prefix"].get<std::string>(), "\""));
  bronzecross::SleepFor(Millis(kConfigApplyMs + 2'000));
  int lost = 0;
  for (int vm = 0; vm < kVms; ++vm) {
    lost += ReadJob(fleet, vm, "done-1").m_status == 404 ? 1 : 0;
    lost += ReadJob(fleet, vm, "open-1").m_status == 404 ? 1 : 0;
    lost += ReadBody(fleet, vm, "open-1", 1).m_status == 404 ? 1 : 0;
  }
  const Answer end =
      fleet.Call(1, "DELETE", "/api/lots/open-1", "", "", 4'000);
  Record(Concat("end of open-1 at ", fleet.VmId(1), ": ", end.m_status));
  Record(Concat("answers of 404 for accepted jobs and bodies: ", lost,
                "; the rule allows none"));
  fleet.Finish(lost > 0 ? kBroken : kHeld);
}
