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
constexpr size_t kMaxIdempotencyKeyBytes = 256;
constexpr int64_t kDefaultListLimit = 20;
constexpr int64_t kMaxListLimit = 100;

std::vector<std::string> PathSegments(std::string_view path) {
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

BatchService::BatchService(BatchDependencies dependencies, BatchOptions options)
    : m_config(dependencies.m_config),
      m_membership(dependencies.m_membership),
      m_peer_server(dependencies.m_peer_server),
      m_ledgers(dependencies.m_ledgers),
      m_files(dependencies.m_files),
      m_store(dependencies.m_store, dependencies.m_prefix),
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
      m_owner(m_context, m_announced_jobs),
      m_dispatcher(m_context,
                   m_announced_jobs,
                   dependencies.m_upstreams,
                   dependencies.m_http,
                   options) {
  Register("batch.take", &BatchService::OnTake);
  Register("batch.done", &BatchService::OnDone);
  Register("batch.held", &BatchService::OnHeld);
  Register("batch.adopt", &BatchService::OnAdopt);
  Register("batch.cancel", &BatchService::OnCancel);
  Register("upstream.yield", &BatchService::OnPreempt);
  m_membership.AddSection(
      "batch", {[this] { return m_owner.Announce(); },
                [this](const std::string& from, const json& section) {
                  m_announced_jobs.Update(from, section, MonotonicNow());
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
  // The dispatcher stops first, because its results may belong to jobs that
  // this VM owns.
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
          const Result<json> result = (this->*method)(*message, deadline);
          if (!result) {
            return tl::unexpected<Error>(result.error());
          }
          return EncodeMessage(*result);
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
  return run->HandleTake(message);
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
  const Status done = run->RecordOutcomes(outcomes, deadline);
  if (!done) {
    return tl::unexpected<Error>(done.error());
  }
  return json::object();
}

Result<json> BatchService::OnHeld(const json& message, Millis) {
  const Member& self = m_membership.Self();
  return json{{"holder", DispatcherId(self.m_id, self.m_incarnation)},
              {"items", m_dispatcher.HeldItems(message.at("job"))}};
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
    run->RequestRecordCheck();
  }
  m_dispatcher.CancelJob(id);
  return json::object();
}

Result<json> BatchService::OnPreempt(const json& message, Millis) {
  m_dispatcher.Preempt(message.at("upstream"), message.at("from"),
                       message.at("online").get<int64_t>());
  return json::object();
}

HttpReply BatchService::Handle(const HttpRequest& request, const Status& body) {
  const Result<Caller> caller = Authenticate(request, *m_config.Get());
  if (!caller) {
    return ErrorReply(caller.error());
  }
  if (request.m_path.starts_with("/v1/files")) {
    const std::vector<std::string> segments = PathSegments(request.m_path);
    const std::optional<OutputFileId> output =
        segments.size() >= 3 ? ParseOutputFileId(segments[2]) : std::nullopt;
    return output ? GetOutputFile(request, *output, *caller)
                  : m_files.Handle(request, caller->m_workspace, body);
  }
  const Result<json> result = HandleBatches(request, *caller);
  if (!result) {
    return ErrorReply(result.error());
  }
  return JsonReply(
      200, result->dump(-1, ' ', false, json::error_handler_t::replace));
}

Result<json> BatchService::HandleBatches(const HttpRequest& request,
                                         const Caller& caller) {
  const std::vector<std::string> segments = PathSegments(request.m_path);
  const bool post = request.m_method == "POST";
  if (segments.size() == 2) {
    return post ? Create(request, caller) : List(request, caller);
  }
  if (segments.size() == 4 && post && segments[3] == "cancel") {
    return Cancel(segments[2], caller);
  }
  if (segments.size() != 3 || request.m_method != "GET") {
    return Fail(ResultCode::kMethodNotAllowed,
                "the path does not support this request method");
  }
  Result<StoredJob> job = LoadJob(segments[2], caller);
  if (!job) {
    return tl::unexpected<Error>(job.error());
  }
  return MakeBatchObject(std::move(job->m_job));
}

Result<StoredJob> BatchService::LoadJob(const std::string& id,
                                        const Caller& caller) {
  Result<StoredJob> job = m_store.Load(id);
  if (job && job->m_job.m_workspace != caller.m_workspace) {
    return Fail(ResultCode::kNotFound, absl::StrCat("there is no job ", id));
  }
  return job;
}

json BatchService::MakeBatchObject(JobRecord job) const {
  const std::optional<AnnouncedJob> announced =
      IsFinal(job.m_state) ? std::nullopt
                           : m_announced_jobs.Find(job.m_id, MonotonicNow());
  if (!announced) {
    return PublicBatch(job);
  }
  job.m_counts = announced->m_counts;
  json batch = PublicBatch(job);
  if (job.m_state == JobState::kValidating) {
    batch["status"] = announced->m_state;
  }
  batch["expected_late"] = announced->m_late;
  if (announced->m_expected_end != Millis(0)) {
    batch["expected_end_at"] = announced->m_expected_end.count() / 1000;
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
  const std::string idempotency_key(
      FindHeader(request.m_headers, "Idempotency-Key"));
  if (idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    return Fail(ResultCode::kInvalidArgument,
                "the Idempotency-Key is longer than 256 bytes");
  }
  JobRecord job;
  job.m_completion_window = body.value("completion_window", "24h");
  const Result<Millis> window = ParseCompletionWindow(job.m_completion_window);
  if (!window) {
    return tl::unexpected<Error>(window.error());
  }
  if (!idempotency_key.empty()) {
    const Result<std::optional<StoredJob>> first = m_store.FindSubmitted(
        caller.m_workspace, idempotency_key, request.m_body);
    if (!first) {
      return tl::unexpected<Error>(first.error());
    }
    if (*first) {
      return MakeBatchObject((*first)->m_job);
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
      m_store.Submit(job, idempotency_key, request.m_body);
  if (!stored) {
    if (stored.error().m_run == RunState::kUnknown) {
      // The record may have been written, with this VM as the job's owner.
      m_owner.AdoptLater(job.m_id);
    }
    return tl::unexpected<Error>(stored.error());
  }
  if (stored->m_job.m_id == job.m_id) {
    Log(Severity::kInfo, LogPart::kBatch, "Accepted a job.",
        {{"job", job.m_id}, {"workspace", job.m_workspace}});
    m_owner.Accept(*stored);
  }
  return MakeBatchObject(stored->m_job);
}

Result<json> BatchService::Cancel(const std::string& id, const Caller& caller) {
  Result<StoredJob> job = LoadJob(id, caller);
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
    // Notifies the owner and the dispatchers. A dispatcher that is not reached
    // sees the cancellation in the owner's announcement; for the owner, the
    // periodic scan of the store detects it.
    for (const Member& member : m_membership.Live()) {
      const Result<json> notified =
          CallVm(member.m_id, "batch.cancel", {{"job", id}}, kCancelTimeout);
      if (!notified) {
        LogError(Severity::kWarning, LogPart::kBatch,
                 "Cannot notify a VM that a job is cancelled.",
                 notified.error());
      }
    }
  }
  return MakeBatchObject(std::move(job->m_job));
}

Result<json> BatchService::List(const HttpRequest& request,
                                const Caller& caller) {
  int64_t limit = kDefaultListLimit;
  const std::string text = QueryValue(request, "limit");
  if (!text.empty() &&
      (!absl::SimpleAtoi(text, &limit) || limit < 1 || limit > kMaxListLimit)) {
    return Fail(ResultCode::kInvalidArgument,
                "limit must be between 1 and 100");
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
      data.push_back(MakeBatchObject(job));
    }
    started = started || job.m_id == after;
  }
  return json{{"object", "list"}, {"data", data}, {"has_more", more}};
}

HttpReply BatchService::GetOutputFile(const HttpRequest& request,
                                      const OutputFileId& file,
                                      const Caller& caller) {
  const std::vector<std::string> segments = PathSegments(request.m_path);
  const bool content = segments.size() == 4 && segments[3] == "content";
  if (request.m_method != "GET" || (segments.size() != 3 && !content)) {
    return ErrorReply(Fail(ResultCode::kMethodNotAllowed,
                           "the path does not support this request method")
                          .value());
  }
  const Result<StoredJob> job = LoadJob(file.m_job, caller);
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
