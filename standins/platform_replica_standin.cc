#include "standins/platform_replica_standin.h"

#include <algorithm>
#include <memory>

#include "base/text.h"

namespace bronzecross {
namespace {

using nlohmann::json;

// How long a silent replica keeps a request.
constexpr Millis kSilence{4'000};

constexpr std::string_view kSignature = "Server-Stamp";

HttpReply NotRun(int status, const std::string& id) {
  HttpReply reply;
  reply.m_status = status;
  reply.m_headers.push_back({"Not-Run", "1"});
  reply.m_headers.push_back({"Request-Id", id});
  return reply;
}

std::string HeaderOf(const HttpRequest& request, std::string_view name) {
  return std::string(FindHeader(request.m_headers, name));
}

}  // namespace

PlatformReplicaStandin::PlatformReplicaStandin(PlatformStoreStandin& store,
                                               PlatformReplicaOptions options)
    : m_store(store),
      m_options(std::move(options)),
      m_server([this](HttpRequest& request) { return Handle(request); }) {
  m_server.Start();
  Register("ready");
}

std::string_view PlatformReplicaStandin::SignatureOf(
    const std::vector<HttpHeader>& fields) {
  return FindHeader(fields, kSignature);
}

std::string PlatformReplicaStandin::EntryKey(std::string_view id) {
  return Concat("servers/", id);
}

PlatformReplicaStandin::~PlatformReplicaStandin() {
  m_server.Stop();
}

void PlatformReplicaStandin::SetFaults(const PlatformReplicaFaults& faults) {
  absl::MutexLock lock(&m_mutex);
  m_faults = faults;
}

void PlatformReplicaStandin::Register(std::string_view state) {
  json entry;
  entry["service"] = m_options.m_service;
  entry["address"] =
      (m_listed.m_port == 0 ? m_server.Address() : m_listed).ToString();
  entry["zone"] = m_options.m_zone;
  entry["version"] = "v1";
  entry["slots"] = m_options.m_slots;
  entry["state"] = state;
  entry["coldLeftMs"] = 0;
  entry["callSeq"] = 1;
  entry["born"] = m_born.count();
  m_store.Put(EntryKey(m_options.m_id), entry.dump());
}

void PlatformReplicaStandin::RegisterAsStarted(Millis born) {
  m_born = born;
  Register("ready");
}

void PlatformReplicaStandin::Unregister() {
  m_store.Remove(EntryKey(m_options.m_id));
}

void PlatformReplicaStandin::Crash() {
  m_server.Stop();
}

std::vector<ReplicaRun> PlatformReplicaStandin::Runs() {
  absl::MutexLock lock(&m_mutex);
  return m_runs;
}

std::string PlatformReplicaStandin::EventData(std::string_view request_id,
                                              int64_t index) {
  return Concat(request_id, "-", index);
}

std::string PlatformReplicaStandin::PlainBody(std::string_view request_id) {
  return Concat("answer to ", request_id);
}

int PlatformReplicaStandin::SlowFactor() {
  absl::MutexLock lock(&m_mutex);
  return m_faults.m_slow_factor;
}

HttpReply PlatformReplicaStandin::Stream(const HttpRequest& request,
                                         const std::string& id,
                                         int64_t resume_after,
                                         bool cut,
                                         int cut_after) {
  HttpReply reply;
  reply.m_headers.push_back({"Request-Id", id});
  reply.m_headers.push_back(
      {std::string(kSignature), Concat("stamp-", m_options.m_id)});
  reply.m_headers.push_back({"Content-Type", "text/event-stream"});
  std::shared_ptr<int64_t> next =
      std::make_shared<int64_t>(std::max<int64_t>(resume_after, 0));
  std::shared_ptr<int> sent = std::make_shared<int>(0);
  const PlatformReplicaOptions options = m_options;
  reply.m_reader = [=, this](std::span<char> buffer) -> Result<size_t> {
    if (cut && *sent >= cut_after) {
      return Fail(ResultCode::kInternal, "the stream is cut");
    }
    if (*next >= options.m_events) {
      return size_t{0};
    }
    SleepFor(options.m_event_gap * SlowFactor());
    ++*next;
    ++*sent;
    const std::string event =
        Concat("id: ", *next, "\ndata: ", EventData(id, *next), "\n\n");
    std::copy(event.begin(), event.end(), buffer.begin());
    return event.size();
  };
  (void)request;
  return reply;
}

HttpReply PlatformReplicaStandin::Handle(HttpRequest& request) {
  ++m_requests;
  HttpReply reply = Answer(request);
  absl::MutexLock lock(&m_mutex);
  if (m_faults.m_leaving) {
    reply.m_headers.push_back({"Server-Leaving", "1"});
  }
  return reply;
}

HttpReply PlatformReplicaStandin::Answer(HttpRequest& request) {
  const std::string id = HeaderOf(request, "Request-Id");
  PlatformReplicaFaults faults;
  bool cut = false;
  {
    absl::MutexLock lock(&m_mutex);
    faults = m_faults;
  }
  if (id.empty()) {
    return NotRun(400, id);
  }
  const std::string expected = HeaderOf(request, "Expect-Instance");
  if (!expected.empty() && expected != m_options.m_id) {
    return NotRun(421, id);
  }
  if (faults.m_refuse) {
    return NotRun(503, id);
  }
  ReplicaRun run;
  run.m_at = MonotonicNow();
  run.m_request_id = id;
  run.m_path = request.m_path;
  run.m_body = request.m_body;
  run.m_workspace = HeaderOf(request, "Tenant");
  run.m_authorization = HeaderOf(request, "Authorization");
  const std::string resume = HeaderOf(request, "Last-Event-Id");
  run.m_resume_after = std::strtoll(resume.c_str(), nullptr, 10);
  const std::string deadline = HeaderOf(request, "Deadline-Ms");
  run.m_deadline_ms =
      deadline.empty() ? -1 : std::strtoll(deadline.c_str(), nullptr, 10);
  {
    absl::MutexLock lock(&m_mutex);
    if (!faults.m_crashing_part.empty() &&
        HeaderOf(request, "Prompt-Prefix").find(faults.m_crashing_part) !=
            std::string::npos) {
      m_is_crashed = true;
    }
    m_runs.push_back(run);
    if (m_is_crashed) {
      cut = true;
      faults.m_break_after = 0;
      m_server.StopListening();
    }
    if (!cut && m_faults.m_break_after >= 0 && m_faults.m_breaks_left > 0) {
      --m_faults.m_breaks_left;
      cut = true;
    }
  }
  if (faults.m_silent) {
    SleepFor(kSilence);
  }
  HttpReply reply;
  if (request.m_path.find("/stream") != std::string::npos &&
      faults.m_fail_status == 0) {
    reply = Stream(request, id, run.m_resume_after, cut, faults.m_break_after);
  } else {
    reply.m_headers.push_back({"Request-Id", id});
    reply.m_headers.push_back(
        {std::string(kSignature), Concat("stamp-", m_options.m_id)});
    reply.m_body = PlainBody(id);
    reply.m_status = faults.m_fail_status != 0 ? faults.m_fail_status : 200;
    if (cut) {
      reply.m_body.clear();
      reply.m_reader = [](std::span<char>) -> Result<size_t> {
        return Fail(ResultCode::kInternal, "the answer is cut");
      };
    }
  }
  if (faults.m_unsigned) {
    std::erase_if(reply.m_headers, [](const HttpHeader& header) {
      return header.m_name == kSignature;
    });
  }
  return reply;
}

}  // namespace bronzecross
