#include "batch/batch_service.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include "base/log.h"
#include "base/random.h"
#include "http/http_error_reply.h"
#include "peers/message.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kCancelTimeout{1000};
constexpr size_t kMaxSubmitKeyBytes = 256;
constexpr int64_t kDefaultListLimit = 20;
constexpr int64_t kMaxListLimit = 100;

std::vector<std::string> PathParts(std::string_view path) {
  return absl::StrSplit(absl::string_view(path.data(), path.size()), '/',
                        absl::SkipEmpty());
}

std::string QueryValue(const HttpRequest& request, const std::string& name) {
  const auto found = request.m_query.find(name);
  return found == request.m_query.end() ? "" : found->second;
}

Result<InputFile> FindInput(FileService& files,
                            const std::string& workspace,
                            const std::string& id) {
  const Result<FileRecord> file = files.Find(id, workspace);
  if (!file) {
    return tl::unexpected<Error>(file.error());
  }
  return InputFile{file->m_ledger, 0};
}

}  // namespace

BatchService::BatchService(BatchParts parts, BatchOptions options)
    : m_config(parts.m_config),
      m_membership(parts.m_membership),
      m_peer_server(parts.m_peer_server),
      m_ledgers(parts.m_ledgers),
      m_files(parts.m_files),
      m_store(parts.m_store, parts.m_prefix),
      m_context{m_store,
                m_ledgers,
                m_config,
                m_membership,
                [this](const std::string& workspace, const std::string& id) {
                  return FindInput(m_files, workspace, id);
                },
                [this](const std::string& vm,
                       const std::string& method,
                       const json& message,
                       Millis timeout) {
                  return CallVm(vm, method, message, timeout);
                }},
      m_owner(m_context, m_open_work),
      m_dispatcher(m_context,
                   m_open_work,
                   parts.m_upstreams,
                   parts.m_http,
                   options) {
  Register("batch.take", &BatchService::OnTake);
  Register("batch.done", &BatchService::OnDone);
  Register("batch.held", &BatchService::OnHeld);
  Register("batch.adopt", &BatchService::OnAdopt);
  Register("batch.cancel", &BatchService::OnCancel);
  Register("upstream.yield", &BatchService::OnYield);
  m_membership.AddSection(
      "batch", {[this] { return m_owner.Announce(); },
                [this](const std::string& from, const json& section) {
                  m_open_work.Take(from, section, MonotonicNow());
                }});
}

BatchService::~BatchService() {
  Stop();
}

void BatchService::Start() {
  m_owner.Start();
  m_dispatcher.Start();
}

void BatchService::Stop() {
  // The dispatcher first: its results may belong to jobs of this VM.
  m_dispatcher.Stop();
  m_owner.Stop();
}

void BatchService::Register(std::string_view name, Method method) {
  m_methods[std::string(name)] = method;
  m_peer_server.Register(
      name, PeerDispatch::kOnWorker,
      [this, method](std::string_view body,
                     Millis deadline) -> Result<std::string> {
        const Result<json> message = DecodeMessage(body);
        if (!message) {
          return tl::unexpected<Error>(message.error());
        }
        try {
          const Result<json> answer = (this->*method)(*message, deadline);
          if (!answer) {
            return tl::unexpected<Error>(answer.error());
          }
          return EncodeMessage(*answer);
        } catch (const json::exception& error) {
          return Fail(ResultCode::kMalformedBody, error.what());
        }
      });
}

Result<json> BatchService::CallVm(const std::string& vm,
                                  const std::string& method,
                                  const json& message,
                                  Millis timeout) {
  if (vm == m_membership.Self().m_id) {
    return (this->*m_methods.at(method))(message, MonotonicNow() + timeout);
  }
  return m_membership.Call(vm, method, message, timeout);
}

Result<json> BatchService::OnTake(const json& message, Millis) {
  const std::shared_ptr<JobRun> run =
      m_owner.Find(message.at("job").get<std::string>());
  if (run == nullptr) {
    return Fail(ResultCode::kNotOwner, "this VM does not run the job");
  }
  return run->Take(message);
}

Result<json> BatchService::OnDone(const json& message, Millis deadline) {
  const std::shared_ptr<JobRun> run =
      m_owner.Find(message.at("job").get<std::string>());
  if (run == nullptr) {
    return Fail(ResultCode::kNotOwner, "this VM does not run the job");
  }
  std::vector<ItemOutcome> outcomes;
  for (const json& outcome : message.at("results")) {
    outcomes.push_back(OutcomeFromJson(outcome));
  }
  const Status done = run->Done(outcomes, deadline);
  if (!done) {
    return tl::unexpected<Error>(done.error());
  }
  return json::object();
}

Result<json> BatchService::OnHeld(const json& message, Millis) {
  const Member& self = m_membership.Self();
  return json{{"holder", HolderName(self.m_id, self.m_incarnation)},
              {"items", m_dispatcher.Held(message.at("job"))}};
}

Result<json> BatchService::OnAdopt(const json& message, Millis) {
  const Status adopted =
      m_owner.Adopt(message.at("job"), message.at("take_over").get<bool>());
  if (!adopted) {
    return tl::unexpected<Error>(adopted.error());
  }
  return json::object();
}

Result<json> BatchService::OnCancel(const json& message, Millis) {
  const std::string id = message.at("job");
  const std::shared_ptr<JobRun> run = m_owner.Find(id);
  if (run != nullptr) {
    run->Remind();
  }
  m_dispatcher.CancelJob(id);
  return json::object();
}

Result<json> BatchService::OnYield(const json& message, Millis) {
  m_dispatcher.Yield(message.at("upstream"), message.at("from"),
                     message.at("online").get<int64_t>());
  return json::object();
}

HttpReply BatchService::Handle(const HttpRequest& request, const Status& body) {
  const Result<Caller> caller = Authenticate(request, *m_config.Get());
  if (!caller) {
    return ErrorReply(caller.error());
  }
  if (request.m_path.starts_with("/v1/files")) {
    const std::vector<std::string> parts = PathParts(request.m_path);
    const std::optional<OutputFileId> output =
        parts.size() >= 3 ? ParseOutputFileId(parts[2]) : std::nullopt;
    return output ? GetOutputFile(request, *output, *caller)
                  : m_files.Handle(request, caller->m_workspace, body);
  }
  const Result<json> answer = Dispatch(request, *caller);
  if (!answer) {
    return ErrorReply(answer.error());
  }
  return JsonReply(
      200, answer->dump(-1, ' ', false, json::error_handler_t::replace));
}

Result<json> BatchService::Dispatch(const HttpRequest& request,
                                    const Caller& caller) {
  const std::vector<std::string> parts = PathParts(request.m_path);
  const bool post = request.m_method == "POST";
  if (parts.size() == 2) {
    return post ? Create(request, caller) : List(request, caller);
  }
  if (parts.size() == 4 && post && parts[3] == "cancel") {
    return Cancel(parts[2], caller);
  }
  if (parts.size() != 3 || request.m_method != "GET") {
    return Fail(ResultCode::kMethodNotAllowed, "no such call");
  }
  Result<StoredJob> job = LoadOwn(parts[2], caller);
  if (!job) {
    return tl::unexpected<Error>(job.error());
  }
  return Show(std::move(job->m_job));
}

Result<StoredJob> BatchService::LoadOwn(const std::string& id,
                                        const Caller& caller) {
  Result<StoredJob> job = m_store.Load(id);
  if (job && job->m_job.m_workspace != caller.m_workspace) {
    return Fail(ResultCode::kNotFound, absl::StrCat("there is no job ", id));
  }
  return job;
}

json BatchService::Show(JobRecord job) const {
  const std::optional<AnnouncedJob> told =
      IsFinal(job.m_state) ? std::nullopt
                           : m_open_work.Find(job.m_id, MonotonicNow());
  if (!told) {
    return PublicBatch(job);
  }
  job.m_counts = told->m_counts;
  json batch = PublicBatch(job);
  if (job.m_state == JobState::kValidating) {
    batch["status"] = told->m_state;
  }
  batch["expected_late"] = told->m_late;
  if (told->m_expected_end != Millis(0)) {
    batch["expected_end_at"] = told->m_expected_end.count() / 1000;
  }
  return batch;
}

Result<json> BatchService::Create(const HttpRequest& request,
                                  const Caller& caller) {
  const json body = json::parse(request.m_body, nullptr, false);
  if (body.is_discarded() || !body.is_object() ||
      !body.value("input_file_id", json()).is_string() ||
      !body.value("endpoint", json("")).is_string() ||
      !body.value("completion_window", json("")).is_string()) {
    return Fail(ResultCode::kMalformedBody,
                "the body must be a JSON object with a string "
                "\"input_file_id\"");
  }
  const std::string submit_key(
      FindHeader(request.m_headers, "Idempotency-Key"));
  if (submit_key.size() > kMaxSubmitKeyBytes) {
    return Fail(ResultCode::kInvalidArgument,
                "the Idempotency-Key is too long");
  }
  JobRecord job;
  job.m_completion_window = body.value("completion_window", "24h");
  const Result<Millis> window = ParseCompletionWindow(job.m_completion_window);
  if (!window) {
    return tl::unexpected<Error>(window.error());
  }
  if (!submit_key.empty()) {
    const Result<std::optional<StoredJob>> first =
        m_store.FindSubmitted(caller.m_workspace, submit_key, request.m_body);
    if (!first) {
      return tl::unexpected<Error>(first.error());
    }
    if (*first) {
      return Show((*first)->m_job);
    }
  }
  job.m_id = "batch_" + RandomId();
  job.m_workspace = caller.m_workspace;
  job.m_endpoint = body.value("endpoint", "/v1/chat/completions");
  job.m_input_file_id = body["input_file_id"];
  job.m_metadata = body.value("metadata", json());
  job.m_owner = m_membership.Self().m_id;
  job.m_owner_incarnation = m_membership.Self().m_incarnation;
  job.m_created = WallNow();
  job.m_deadline = job.m_created + *window;
  const Result<InputFile> input =
      m_context.m_find_input(job.m_workspace, job.m_input_file_id);
  if (!input) {
    return tl::unexpected<Error>(input.error());
  }
  const Result<StoredJob> stored =
      m_store.Submit(job, submit_key, request.m_body);
  if (!stored) {
    if (stored.error().m_run == RunState::kUnknown) {
      // The record may have been written; then this VM is its owner.
      m_owner.AdoptLater(job.m_id);
    }
    return tl::unexpected<Error>(stored.error());
  }
  if (stored->m_job.m_id == job.m_id) {
    Log(Severity::kInfo, LogPart::kBatch, "Accepted a job.",
        {{"job", job.m_id}, {"workspace", job.m_workspace}});
    m_owner.Accept(*stored);
  }
  return Show(stored->m_job);
}

Result<json> BatchService::Cancel(const std::string& id, const Caller& caller) {
  Result<StoredJob> job = LoadOwn(id, caller);
  if (!job) {
    return tl::unexpected<Error>(job.error());
  }
  if (!IsFinal(job->m_job.m_state) &&
      job->m_job.m_state != JobState::kCancelling) {
    job->m_job.m_state = JobState::kCancelling;
    const Result<int64_t> saved = m_store.Save(job->m_job, job->m_revision);
    if (!saved) {
      return tl::unexpected<Error>(saved.error());
    }
  }
  if (job->m_job.m_state == JobState::kCancelling) {
    // The owner and the dispatchers; whoever is not reached learns of it from
    // the owner's announcement, and the owner from the search of the store.
    for (const Member& member : m_membership.Live()) {
      const Result<json> told =
          CallVm(member.m_id, "batch.cancel", {{"job", id}}, kCancelTimeout);
      if (!told) {
        LogError(Severity::kWarning, LogPart::kBatch,
                 "Cannot tell a VM that a job is cancelled.", told.error());
      }
    }
  }
  return Show(std::move(job->m_job));
}

Result<json> BatchService::List(const HttpRequest& request,
                                const Caller& caller) {
  int64_t limit = kDefaultListLimit;
  const std::string text = QueryValue(request, "limit");
  if (!text.empty() &&
      (!absl::SimpleAtoi(text, &limit) || limit < 1 || limit > kMaxListLimit)) {
    return Fail(ResultCode::kInvalidArgument, "limit must lie in [1, 100]");
  }
  Result<std::vector<JobRecord>> jobs = m_store.ListJobs(caller.m_workspace);
  if (!jobs) {
    return tl::unexpected<Error>(jobs.error());
  }
  const std::string after = QueryValue(request, "after");
  bool started = after.empty();
  json data = json::array();
  bool more = false;
  for (const JobRecord& job : *jobs) {
    if (started && static_cast<int64_t>(data.size()) == limit) {
      more = true;
      break;
    }
    if (started) {
      data.push_back(Show(job));
    }
    started = started || job.m_id == after;
  }
  return json{{"object", "list"}, {"data", data}, {"has_more", more}};
}

HttpReply BatchService::GetOutputFile(const HttpRequest& request,
                                      const OutputFileId& file,
                                      const Caller& caller) {
  const std::vector<std::string> parts = PathParts(request.m_path);
  const bool content = parts.size() == 4 && parts[3] == "content";
  if (request.m_method != "GET" || (parts.size() != 3 && !content)) {
    return ErrorReply(
        Fail(ResultCode::kMethodNotAllowed, "no such call").value());
  }
  const Result<StoredJob> job = LoadOwn(file.m_job, caller);
  if (!job) {
    return ErrorReply(job.error());
  }
  if (!content) {
    return JsonReply(200, OutputFileObject(file, job->m_job).dump());
  }
  HttpReply reply;
  reply.m_headers.push_back({"Content-Type", "application/jsonl"});
  reply.m_reader = ReadOutputFile(m_ledgers, file);
  return reply;
}

}  // namespace bronzecross
