// Case 13: an entry under servers/ that another writer left, with a field
// missing or of another type.

#include <atomic>
#include <cstdio>
#include <thread>

#include "base/text.h"
#include "standins/standin_server.h"
#include "world.h"

namespace review {
namespace {

using bronzecross::Concat;
using bronzecross::Millis;
using bronzecross::SleepFor;
using nlohmann::json;

constexpr int kGateways = 3;
constexpr int kCallers = 12;
constexpr int kRequests = 10;  // of each caller, for each entry
constexpr Millis kSpread{1'000};

// A server that is no replica of any service: whoever wrote the entry knows
// what it is for. It answers what it is asked and counts it.
class OtherServer {
 public:
  explicit OtherServer(Record& record)
      : m_record(record), m_server([this](bronzecross::HttpRequest& request) {
          ++m_ran;
          m_record.Add(Concat(
              "other server: ran ", request.m_method, " ", request.m_path,
              " of request ",
              bronzecross::FindHeader(request.m_headers, "Request-Id"),
              ", Tenant ", bronzecross::FindHeader(request.m_headers, "Tenant"),
              ", body \"", request.m_body, "\""));
          return bronzecross::HttpReply();
        }) {
    m_server.Start();
  }
  std::string Address() const { return m_server.Address().ToString(); }
  int Ran() const { return m_ran; }

 private:
  Record& m_record;
  std::atomic<int> m_ran = 0;
  bronzecross::StandinServer m_server;
};

struct OddEntry {
  std::string m_what;
  json m_entry;
};

std::vector<OddEntry> OddEntries(const std::string& address) {
  const json whole = {
      {"service", "engine"}, {"address", address}, {"zone", "zone-a"},
      {"version", "v1"},     {"slots", 8},         {"state", "ready"},
      {"coldLeftMs", 0},     {"callSeq", 1},       {"born", 1}};
  json without_zone = whole;
  without_zone.erase("zone");
  json without_counts = whole;
  without_counts.erase("callSeq");
  without_counts.erase("coldLeftMs");
  json other_types = whole;
  other_types["version"] = 3;
  other_types["zone"] = json::array({"zone-a"});
  return {{"without zone", without_zone},
          {"without callSeq and coldLeftMs", without_counts},
          {"version a number, zone a list", other_types}};
}

int Run() {
  Record record("review/13/record.txt");
  World world(kGateways, record);
  world.Publish(1,
                json::array({MakeRoute("once", "/once/", "non_idempotent")}));
  for (int i = 0; i < 4; ++i) {
    world.AddReplica(Concat("i-", i), 5, 20);
  }
  for (int i = 0; i < kGateways; ++i) {
    world.SetSeeds(i, {world.ControlAddress(0), world.ControlAddress(1),
                       world.ControlAddress(2)});
    world.Start(i);
  }
  for (int i = 0; i < kGateways; ++i) {
    if (!world.WaitReady(i)) {
      return kCouldNotRun;
    }
  }
  OtherServer other(record);
  std::atomic<int> failed = 0;
  std::atomic<int> sent = 0;
  for (const OddEntry& odd : OddEntries(other.Address())) {
    if (HasTrouble()) {
      world.Store().Put("servers/i-odd", odd.m_entry.dump());
      record.Add(Concat("another writer: servers/i-odd ", odd.m_what, ": ",
                        odd.m_entry.dump()));
    }
    SleepFor(kSpread);
    std::vector<std::thread> callers;
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&, caller] {
        for (int i = 0; i < kRequests; ++i) {
          const std::string id = Concat("r", sent++);
          const Answer answer =
              world.Call(caller % kGateways, "POST",
                         Concat("/once/stream/", id), id, Concat("order ", id));
          record.Add(Concat("client: ", id, " got ", answer.m_status,
                            " stamp \"", answer.m_stamp, "\""));
          failed += answer.m_status == 200 ? 0 : 1;
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    if (HasTrouble()) {
      world.Store().Remove("servers/i-odd");
      record.Add("another writer: removed servers/i-odd");
    }
    SleepFor(kSpread);
  }
  record.Add(Concat(sent.load(), " requests sent, ", failed.load(),
                    " not served; the other server ran ", other.Ran()));
  if (!HasTrouble() && failed > 0) {
    return kCouldNotRun;
  }
  return other.Ran() > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main() {
  const int result = review::Run();
  std::printf("%s\n", result == review::kHeld     ? "held"
                      : result == review::kBroken ? "BROKEN"
                                                  : "could not run");
  return result;
}
