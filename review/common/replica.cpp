#include "replica.hpp"

#include <algorithm>
#include <atomic>
#include <cstdlib>

#include "base/text.h"
#include "record.hpp"

namespace review {
namespace {

using bronzecross::Concat;
using bronzecross::FindHeader;
using bronzecross::Result;
using nlohmann::json;

std::string HeaderOf(const HttpRequest& request, std::string_view name) {
  return std::string(FindHeader(request.m_headers, name));
}

int64_t OutputTokens(const HttpRequest& request) {
  const std::string count = HeaderOf(request, "Token-Count");
  const size_t comma = count.find(',');
  return comma == std::string::npos
             ? 100
             : std::strtoll(count.c_str() + comma + 1, nullptr, 10);
}

// Runs a function at the end of its lifetime.
class AtEnd {
 public:
  explicit AtEnd(std::function<void()> run) : m_run(std::move(run)) {}
  ~AtEnd() { m_run(); }
  AtEnd(const AtEnd&) = delete;
  AtEnd& operator=(const AtEnd&) = delete;

 private:
  std::function<void()> m_run;
};

}  // namespace

Replica::Replica(Store& store, ReplicaOptions options)
    : m_options(std::move(options)),
      m_server([this](HttpRequest& request) { return Handle(request); }) {
  m_server.Start();
  json entry;
  entry["service"] = m_options.m_service;
  entry["address"] = m_server.Address().ToString();
  entry["zone"] = m_options.m_zone;
  entry["version"] = "v1";
  entry["slots"] = m_options.m_slots;
  entry["state"] = "ready";
  entry["coldLeftMs"] = 0;
  entry["callSeq"] = 1;
  entry["born"] = bronzecross::WallNow().count();
  store.Put(Concat("servers/", m_options.m_id), entry.dump());
}

Replica::~Replica() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
    m_slot_free.SignalAll();
  }
  m_server.Stop();
}

std::vector<Run> Replica::Runs() {
  absl::MutexLock lock(&m_mutex);
  return m_runs;
}

int Replica::Running() {
  absl::MutexLock lock(&m_mutex);
  return m_running;
}

std::string Replica::EventData(std::string_view request_id, int64_t index) {
  return Concat(request_id, "-", index);
}

bool Replica::TakeSlot() {
  absl::MutexLock lock(&m_mutex);
  if (m_running >= m_options.m_slots && m_waiting >= m_options.m_queue) {
    return false;
  }
  ++m_waiting;
  while (m_running >= m_options.m_slots && !m_stopping) {
    m_slot_free.Wait(&m_mutex);
  }
  --m_waiting;
  ++m_running;
  return true;
}

size_t Replica::BeginRun(const HttpRequest& request, const std::string& id) {
  Run run;
  run.m_at = TheRecord().Now();
  run.m_replica = m_options.m_id;
  run.m_request_id = id;
  run.m_path = request.m_path;
  run.m_tenant = HeaderOf(request, "Tenant");
  run.m_body = request.m_body;
  run.m_resume_after =
      std::strtoll(HeaderOf(request, "Last-Event-Id").c_str(), nullptr, 10);
  TheRecord().Line(
      m_options.m_id,
      Concat("runs ", id, " ", request.m_method, " ", request.m_path,
             " tenant=", run.m_tenant, " after event ", run.m_resume_after));
  absl::MutexLock lock(&m_mutex);
  m_runs.push_back(std::move(run));
  return m_runs.size() - 1;
}

void Replica::EndRun(size_t run) {
  std::string id;
  {
    absl::MutexLock lock(&m_mutex);
    m_runs[run].m_has_ended = true;
    m_runs[run].m_ended_at = TheRecord().Now();
    id = m_runs[run].m_request_id;
    --m_running;
    m_slot_free.SignalAll();
  }
  TheRecord().Line(m_options.m_id, Concat("ended ", id));
}

HttpReply Replica::Handle(HttpRequest& request) {
  HttpReply reply;
  const std::string id = HeaderOf(request, "Request-Id");
  const std::string expected = HeaderOf(request, "Expect-Instance");
  if (request.m_path == "/health") {
    reply.m_headers.push_back({"Instance-Id", m_options.m_id});
    return reply;
  }
  if (!id.empty()) {
    reply.m_headers.push_back({"Request-Id", id});
  }
  const bool is_other = !expected.empty() && expected != m_options.m_id;
  if (id.empty() || is_other || !TakeSlot()) {
    reply.m_status = id.empty() ? 400 : is_other ? 421 : 503;
    reply.m_headers.push_back({"Not-Run", "1"});
    return reply;
  }
  const size_t run = BeginRun(request, id);
  const std::shared_ptr<AtEnd> at_end =
      std::make_shared<AtEnd>([this, run] { EndRun(run); });
  reply.m_headers.push_back({"Server-Stamp", Concat("stamp-", m_options.m_id)});
  reply.m_headers.push_back({"Content-Type", "text/event-stream"});
  reply.m_headers.push_back({"Weight-Versions", "1"});
  const int64_t events = std::max<int64_t>(OutputTokens(request) / 10, 1);
  const std::shared_ptr<int64_t> next = std::make_shared<int64_t>(
      std::strtoll(HeaderOf(request, "Last-Event-Id").c_str(), nullptr, 10));
  const Millis gap = m_options.m_event_gap;
  reply.m_reader = [=](std::span<char> buffer) -> Result<size_t> {
    (void)at_end;
    if (*next >= events) {
      return size_t{0};
    }
    bronzecross::SleepFor(gap);
    ++*next;
    const std::string event =
        Concat("id: ", *next, "\ndata: ", EventData(id, *next), "\n\n");
    std::copy(event.begin(), event.end(), buffer.begin());
    return event.size();
  };
  return reply;
}

}  // namespace review
