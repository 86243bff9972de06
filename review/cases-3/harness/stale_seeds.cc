// Case 11: the settings of a gateway change to a longer list of seeds, with
// SIGHUP, while it waits for the answer of a seed that doesn't answer. Two ways
// there: the only gateway of a deployment, which has served for seconds, and
// the third of three, which has just started.

#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <mutex>
#include <set>
#include <thread>

#include "base/net_address.h"
#include "base/text.h"
#include "world.h"

namespace review {
namespace {

using bronzecross::Concat;
using bronzecross::Millis;
using bronzecross::SleepFor;
using nlohmann::json;

constexpr int kClients = 32;

struct Totals {
  std::atomic<int> m_sent = 0;
  std::atomic<int> m_answered = 0;
  std::atomic<int> m_cut = 0;  // after the connection was made
  std::atomic<int> m_no_connection = 0;
  std::mutex m_mutex;
  std::set<std::string> m_cut_ids;
};

// The control address of a machine that stands still: connections are made,
// nothing answers.
class SilentMachine {
 public:
  explicit SilentMachine(const std::string& ip) {
    const bronzecross::Result<int> fd =
        bronzecross::ListenTcp(bronzecross::NetAddress{ip, 28407}, m_address);
    m_fd = fd ? *fd : -1;
  }
  ~SilentMachine() {
    for (const int fd : m_accepted) {
      close(fd);
    }
    close(m_fd);
  }
  bool IsListening() const { return m_fd >= 0; }
  std::string Address() const { return m_address.ToString(); }
  // Waits until the next query begins.
  bool WaitForQuery(int timeout_ms) {
    pollfd entry{m_fd, POLLIN, 0};
    if (poll(&entry, 1, timeout_ms) != 1) {
      return false;
    }
    m_accepted.push_back(accept(m_fd, nullptr, nullptr));
    return true;
  }

 private:
  bronzecross::NetAddress m_address;
  int m_fd = -1;
  std::vector<int> m_accepted;
};

// What a request for tokens states: parts of its prompt, some of them shared.
std::vector<bronzecross::HttpHeader> PromptFields(int client, int request) {
  std::string parts;
  for (int i = 0; i < 2 + request % 6; ++i) {
    parts += Concat(i == 0 ? "" : ",", "5c1e0", 100 + i, ":", 100 + 10 * i);
  }
  return {{"Model", "m"},
          {"Token-Count", Concat(400 + client, ",80")},
          {"Prompt-Prefix", Concat(parts, ",e44", client, request, ":250")},
          {"Length-Hint", "70"}};
}

void RunClient(World& world,
               int gateway,
               int client,
               std::atomic<bool>& stop,
               Totals& totals) {
  for (int i = 0; !stop; ++i) {
    const std::string id = Concat("r", client, "-", i);
    ++totals.m_sent;
    const Answer answer =
        world.Call(gateway, "POST", Concat("/ask/stream/", id), id,
                   Concat("question ",
                          std::string(static_cast<size_t>(40 * (i % 9)), 'x')),
                   PromptFields(client, i));
    SleepFor(Millis(20));
    if (answer.m_status != 0) {
      ++totals.m_answered;
      world.Log().Add(Concat("client: ", id, " got ", answer.m_status));
      continue;
    }
    const bool is_refused =
        answer.m_error.find("onnect") != std::string::npos &&
        answer.m_error.find("reset") == std::string::npos;
    if (!is_refused) {
      const std::lock_guard<std::mutex> lock(totals.m_mutex);
      totals.m_cut_ids.insert(id);
    }
    ++(is_refused ? totals.m_no_connection : totals.m_cut);
    world.Log().Add(
        Concat("client: ", id, " got no whole answer: ", answer.m_error));
    if (is_refused) {
      return;
    }
  }
}

// The gateways of a deployment, of which the last one gets the new settings
// once it has served for `served`.
int RunDeployment(Record& record, int gateways, Millis served) {
  record.Add(Concat("== a deployment with ", gateways, " gateway(s)"));
  World world(gateways, record);
  const int last = gateways - 1;
  const std::string name = Concat("edge-", gateways);
  SilentMachine silent(world.Ip(9));
  if (!silent.IsListening()) {
    return kCouldNotRun;
  }
  world.Publish(1, json::array({MakeRoute("ask", "/ask/", "streaming")}));
  for (int i = 0; i < 4; ++i) {
    world.AddReplica(Concat("i-", i), 10, 20);
  }
  for (int i = 0; i < last; ++i) {
    world.SetSeeds(i, {world.ControlAddress(0), world.ControlAddress(1)});
    world.Start(i);
    if (!world.WaitReady(i)) {
      return kCouldNotRun;
    }
  }
  world.SetSeeds(last, {silent.Address(), world.ControlAddress(0)});
  record.Add(Concat("the first seed of ", name, " stands still"));
  world.Start(last);
  if (!world.WaitReady(last)) {
    return kCouldNotRun;
  }
  std::atomic<bool> stop = false;
  Totals totals;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] { RunClient(world, last, i, stop, totals); });
  }
  const Millis started = bronzecross::MonotonicNow();
  bool is_asked = false;
  do {
    is_asked = silent.WaitForQuery(3'000);
  } while (is_asked && bronzecross::MonotonicNow() - started < served);
  SleepFor(Millis(50));
  if (HasTrouble() && is_asked) {
    world.SetSeeds(last, {world.ControlAddress(0), world.ControlAddress(1),
                          world.ControlAddress(2)});
    world.WriteSettings(last);
    world.Process(last).Signal(SIGHUP);
    record.Add(
        Concat("platform: new settings with three seeds, SIGHUP to ", name));
  }
  int status = -1;
  for (int i = 0; i < 50 && status == -1; ++i) {
    SleepFor(Millis(100));
    status = world.Process(last).Wait(Millis(0));
  }
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  record.Add(Concat("clients: ", totals.m_sent.load(), " sent, ",
                    totals.m_answered.load(), " answered, ",
                    totals.m_cut.load(), " cut off, ",
                    totals.m_no_connection.load(), " without a connection"));
  // Only a request that had been passed on to a replica counts.
  std::set<std::string> lost;
  for (const bronzecross::ReplicaRun& run : world.Runs()) {
    if (totals.m_cut_ids.contains(run.m_request_id)) {
      lost.insert(run.m_request_id);
    }
  }
  record.Add(
      Concat(lost.size(), " of those cut off had been passed on to a replica"));
  if (!is_asked) {
    record.Add("the gateway didn't ask the seed that stands still");
    return kCouldNotRun;
  }
  if (status != -1) {
    record.Add(Concat(name, " has ended by itself, status ", status,
                      " (128 + signal); the end of its log:\n",
                      world.LogTail(last)));
    return lost.empty() ? kHeld : kBroken;
  }
  record.Add(Concat(name, " still runs"));
  return lost.empty() ? kHeld : kBroken;
}

// What the gateway reads is freed memory, so that not every try ends it.
constexpr int kTries = 2;

int Run() {
  Record record("review/11/record.txt");
  int result = kHeld;
  for (int i = 0; i < kTries; ++i) {
    for (const int gateways : {1, 3}) {
      const int tried =
          RunDeployment(record, gateways, Millis(gateways == 1 ? 5'000 : 0));
      if (tried == kCouldNotRun) {
        return kCouldNotRun;
      }
      result = tried == kBroken ? kBroken : result;
    }
  }
  return result;
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
