// Batch jobs whose items together are larger than one value of the store, at the
// usual rate; each is sent once more after a failure, as a client does. Clients
// with kept connections send short requests meanwhile. The platform kills a
// gateway that uses more than its memory. Counts the requests from kept
// connections that a replica had and whose connection ended without an answer.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <thread>

#include "base/base64.h"
#include "base/text.h"
#include "fleet.hpp"
#include "http1/message_head.h"

namespace {

using bronzecross::Concat;
using nlohmann::json;
using namespace review;

constexpr int kVms = 4;
constexpr int kJobs = 72;
constexpr int64_t kIntervalMs = 1'250;
constexpr int64_t kRestartMs = 1'000;
constexpr int kItems = 20;
constexpr size_t kValueBytes = 1'048'576;
constexpr int64_t kMemoryBytes = int64_t{260} << 20;
constexpr int kReplicas = 6;
constexpr int kKeptClients = 10;  // at each gateway
constexpr Millis kWork{800};
constexpr int kAllowedLost = 3;

// Stands before the store and keeps its limit: a value of more than
// `valueBytes` is rejected with 413, and nothing is done.
class LimitedStore {
 public:
  explicit LimitedStore(bronzecross::PlatformStoreStandin& store)
      : m_store(store),
        m_server([this](HttpRequest& request) { return Pass(request); }) {
    m_server.Start();
  }
  ~LimitedStore() { m_server.Stop(); }
  std::string Address() const { return m_server.Address().ToString(); }
  int Rejected() const { return m_rejected; }

 private:
  HttpReply Pass(HttpRequest& request) {
    HttpReply reply;
    if (request.m_path == "/api/kv-txn" && request.m_body.size() > kValueBytes) {
      const json body = json::parse(request.m_body, nullptr, false);
      for (const json& row : body["puts"]) {
        const std::string& value = row["value"].get_ref<const std::string&>();
        if (value.size() / 4 * 3 > kValueBytes + 2) {
          ++m_rejected;
          reply.m_status = 413;
          return reply;
        }
      }
    }
    bronzecross::HttpCall call;
    call.m_method = request.m_method;
    std::string query;
    for (const auto& [name, value] : request.m_query) {
      query += Concat(query.empty() ? "?" : "&", name, "=",
                      bronzecross::EncodeQueryValue(value));
    }
    call.m_url =
        Concat("http://", m_store.Address().ToString(), request.m_path, query);
    call.m_body = request.m_body;
    call.m_timeout = Millis(40'000);
    const auto answer = m_http.Call(call);
    reply.m_status = answer ? answer->m_status : 503;
    reply.m_body = answer ? answer->m_body : "";
    reply.m_headers.push_back({"Content-Type", "application/json"});
    return reply;
  }

  bronzecross::PlatformStoreStandin& m_store;
  bronzecross::HttpClient m_http;
  std::atomic<int> m_rejected = 0;
  bronzecross::StandinServer m_server;
};

// A sound replica: it answers plain requests after a while, and runs items.
class Replica {
 public:
  Replica(bronzecross::PlatformStoreStandin& store, int index)
      : m_id(Concat("i-", index)),
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

  static bool HasBegun(const std::string& id) {
    const std::lock_guard<std::mutex> lock(s_mutex);
    return s_begun.contains(id);
  }

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
    {
      const std::lock_guard<std::mutex> lock(s_mutex);
      s_begun.insert(id);
    }
    bronzecross::SleepFor(kWork);
    reply.m_headers.push_back({"Server-Stamp", Concat("stamp-", m_id)});
    if (request.m_path.starts_with("/lots/")) {
      reply.m_headers.push_back({"Content-Type", "text/event-stream"});
      reply.m_body = "id: 1\ndata: first\n\nid: 2\ndata: last\n\n";
    } else {
      reply.m_body = Concat("answer to ", id);
    }
    return reply;
  }

  static inline std::mutex s_mutex;
  static inline std::set<std::string> s_begun;
  const std::string m_id;
  bronzecross::StandinServer m_server;
};

// A client that keeps its connection for many requests.
class KeptClient {
 public:
  KeptClient(Fleet& fleet, int vm, int number)
      : m_fleet(fleet), m_vm(vm), m_number(number), m_thread([this] { Run(); }) {}
  ~KeptClient() { m_thread.join(); }
  static void StopAll() { s_stopped = true; }
  static int Answered() { return s_answered; }
  // Requests that a replica had and whose connection ended without an answer.
  static int Lost() { return s_lost; }

 private:
  bool Connect() {
    const std::string address = m_fleet.CallerAddress(m_vm);
    const size_t colon = address.find(':');
    sockaddr_in target = {};
    target.sin_family = AF_INET;
    target.sin_port =
        htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    m_fd = socket(AF_INET, SOCK_STREAM, 0);
    const timeval limit = {8, 0};
    setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    if (connect(m_fd, reinterpret_cast<sockaddr*>(&target), sizeof(target)) !=
        0) {
      close(m_fd);
      m_fd = -1;
    }
    return m_fd >= 0;
  }

  // Returns the status, or 0 if the connection ended before a whole answer.
  int Exchange(const std::string& id) {
    const std::string text = Concat(
        "POST /ask/x HTTP/1.1\r\nHost: ", kHost, "\r\nRequest-Id: ", id,
        "\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: 5000\r\n",
        "Content-Length: 8\r\n\r\nquestion");
    if (send(m_fd, text.data(), text.size(), MSG_NOSIGNAL) < 0) {
      return 0;
    }
    std::string got;
    for (;;) {
      const size_t head = got.find("\r\n\r\n");
      if (head != std::string::npos) {
        const size_t field = got.find("Content-Length: ");
        const size_t length =
            field < head ? std::stoul(got.substr(field + 16)) : 0;
        if (got.size() >= head + 4 + length) {
          return std::stoi(got.substr(9, 3));
        }
      }
      char buffer[4096];
      const ssize_t count = recv(m_fd, buffer, sizeof(buffer), 0);
      if (count <= 0) {
        return 0;
      }
      got.append(buffer, static_cast<size_t>(count));
    }
  }

  void Run() {
    for (int i = 0; !s_stopped; ++i) {
      if (m_fd < 0 && !Connect()) {
        bronzecross::SleepFor(Millis(200));
        continue;
      }
      const std::string id = Concat("ask-", m_number, "-", i);
      const int64_t sent = Now();
      const int status = Exchange(id);
      Record(Concat(id, " sent to ", m_fleet.VmId(m_vm), " at ", sent,
                    " ms: run by a replica: ",
                    Replica::HasBegun(id) ? "yes" : "no", ", answered ",
                    status));
      s_answered += status == 200 ? 1 : 0;
      if (status == 0) {
        close(m_fd);
        m_fd = -1;
        if (Replica::HasBegun(id)) {
          ++s_lost;
          Record(Concat("a replica had ", id, "; ", m_fleet.VmId(m_vm),
                        " ended its kept connection without an answer"));
        }
      }
      bronzecross::SleepFor(Millis(50));
    }
    if (m_fd >= 0) {
      close(m_fd);
    }
  }

  static inline std::atomic<bool> s_stopped = false;
  static inline std::atomic<int> s_answered = 0;
  static inline std::atomic<int> s_lost = 0;
  Fleet& m_fleet;
  const int m_vm;
  const int m_number;
  int m_fd = -1;
  std::thread m_thread;
};

std::string JobBody(const std::string& job, size_t item_bytes) {
  json body;
  body["items"] = json::array();
  for (int i = 0; i < kItems; ++i) {
    body["items"].push_back(
        {{"id", Concat(job, "-", i)},
         {"path", "/lots/run"},
         {"headers", {{"Model", "m"}}},
         {"body", bronzecross::Base64Encode(std::string(item_bytes, 'x'))},
         {"tokens", 100}});
  }
  return body.dump();
}

// Ends a process that uses more than its memory, as the platform does, and
// starts it again after a short delay.
class Platform {
 public:
  explicit Platform(Fleet& fleet) : m_fleet(fleet), m_thread([this] { Run(); }) {}
  ~Platform() {
    m_stopped = true;
    m_thread.join();
  }
  int Kills() const { return m_kills; }
  int KilledMachines() const { return m_machines; }
  // Highest resident memory of a gateway so far, in MB.
  int64_t Peak() const { return m_peak >> 20; }

 private:
  void Run() {
    std::vector<int> kills(kVms);
    std::vector<int64_t> start_at(kVms);
    while (!m_stopped) {
      for (int i = 0; i < kVms; ++i) {
        const size_t vm = static_cast<size_t>(i);
        if (start_at[vm] != 0) {
          if (Now() >= start_at[vm]) {
            start_at[vm] = 0;
            m_fleet.StartVm(i);
          }
          continue;
        }
        const auto use = bronzecross::ReadUsage(m_fleet.Vm(i).Pid());
        m_peak = std::max(m_peak.load(), use.m_rss_bytes);
        if (use.m_rss_bytes > kMemoryBytes) {
          Record(Concat(m_fleet.VmId(i), " uses ", use.m_rss_bytes >> 20,
                        " MB of ", kMemoryBytes >> 20,
                        ": the platform kills it"));
          m_fleet.Vm(i).Kill();
          m_machines += kills[vm]++ == 0 ? 1 : 0;
          ++m_kills;
          start_at[vm] = Now() + kRestartMs;
        }
      }
      bronzecross::SleepFor(Millis(100));
    }
  }

  Fleet& m_fleet;
  std::atomic<bool> m_stopped = false;
  std::atomic<int> m_kills = 0;
  std::atomic<int> m_machines = 0;
  std::atomic<int64_t> m_peak = 0;
  std::thread m_thread;
};

}  // namespace

int main() {
  bronzecross::PlatformStoreStandin store;
  LimitedStore limited(store);
  FleetOptions options;
  options.m_vms = kVms;
  options.m_store_address = limited.Address();
  options.m_routes = {MakeRoute("lots", "/lots/", "bulk", "engine"),
                      MakeRoute("ask", "/ask/", "idempotent", "engine")};
  Fleet fleet(store, options);
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(store, i));
  }
  if (!fleet.Start()) {
    fleet.Finish(kCouldNotRun);
  }
  std::vector<std::unique_ptr<KeptClient>> kept;
  for (int i = 0; i < kVms * kKeptClients; ++i) {
    kept.push_back(std::make_unique<KeptClient>(fleet, i % kVms, i));
  }
  const size_t item_bytes = HasTrouble() ? 140'000 : 30'000;
  std::unique_ptr<Platform> platform = std::make_unique<Platform>(fleet);
  std::vector<std::thread> clients;
  std::atomic<int> accepted = 0;
  std::atomic<int> attempts = 0;
  const int64_t began = Now();
  for (int j = 0; j < kJobs; ++j) {
    while (Now() < began + j * kIntervalMs) {
      bronzecross::SleepFor(Millis(10));
    }
    clients.emplace_back([&, j] {
      const std::string job = Concat("job-", j);
      const std::string body = JobBody(job, item_bytes);
      for (int attempt = 0; attempt < 2; ++attempt) {
        const Answer answer = fleet.Call((j + attempt) % kVms, "POST", "/lots/x",
                                         job, body, 4'000);
        ++attempts;
        Record(Concat(job, " of ", body.size(), " bytes to ",
                      fleet.VmId((j + attempt) % kVms), ": ", answer.m_status,
                      " after ", answer.m_ended - answer.m_sent, " ms"));
        if (answer.m_status == 202) {
          ++accepted;
          break;
        }
      }
    });
    if (j % 8 == 0) {
      std::string line = Concat("rejected by the store: ", limited.Rejected());
      for (int i = 0; i < kVms; ++i) {
        const auto use = bronzecross::ReadUsage(fleet.Vm(i).Pid());
        line += Concat("; ", fleet.VmId(i), ": ", use.m_rss_bytes >> 20,
                       " MB, processor ", use.m_cpu_seconds, " s");
      }
      Record(line);
    }
  }
  for (std::thread& client : clients) {
    client.join();
  }
  KeptClient::StopAll();
  kept.clear();
  const int kills = platform->Kills();
  const int machines = platform->KilledMachines();
  const int64_t peak = platform->Peak();
  platform.reset();
  Record(Concat("jobs ", kJobs, ", attempts ", attempts.load(), ", accepted ",
                accepted.load(), "; the store rejected ", limited.Rejected(),
                " writes; the platform killed ", kills,
                " processes on ", machines,
                " machines; highest memory ", peak, " MB"));
  Record(Concat("kept connections: ", KeptClient::Answered(),
                " requests answered, ", KeptClient::Lost(),
                " that a replica had were closed without an answer; the rule "
                "allows ",
                kAllowedLost));
  if (KeptClient::Answered() < 1'000 || (!HasTrouble() && accepted < kJobs)) {
    fleet.Finish(kCouldNotRun);
  }
  fleet.Finish(KeptClient::Lost() > kAllowedLost ? kBroken : kHeld);
}
