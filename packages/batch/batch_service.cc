#include "batch/batch_service.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include "base/log.h"
#include "base/random.h"
#include "http/http_error_reply.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr size_t kMaxItemTries = 3;
constexpr Millis kItemTimeout{60'000};

json PublicBatch(const json& record) {
  json batch = record;
  batch.erase("workspace");
  batch.erase("writer");
  return batch;
}

}  // namespace

BatchService::BatchService(ConfigHolder& config,
                           KvClient& store,
                           FileService& files,
                           UpstreamRegistry& upstreams,
                           HttpClient& http,
                           std::string prefix)
    : m_config(config),
      m_store(store),
      m_files(files),
      m_upstreams(upstreams),
      m_http(http),
      m_prefix(std::move(prefix)) {}

BatchService::~BatchService() {
  Stop();
}

void BatchService::Stop() {
  m_stopping = true;
  std::vector<std::thread> runners;
  {
    absl::MutexLock lock(&m_mutex);
    runners.swap(m_runners);
  }
  for (std::thread& runner : runners) {
    runner.join();
  }
}

HttpReply BatchService::Handle(const HttpRequest& request, const Status& body) {
  const Result<Caller> caller = Authenticate(request, *m_config.Get());
  if (!caller) {
    return ErrorReply(caller.error());
  }
  if (request.m_path.starts_with("/v1/files")) {
    return m_files.Handle(request, caller->m_workspace, body);
  }
  const Result<json> answer = Dispatch(request, *caller);
  return answer ? JsonReply(200, answer->dump()) : ErrorReply(answer.error());
}

Result<json> BatchService::Dispatch(const HttpRequest& request,
                                    const Caller& caller) {
  const std::vector<std::string> parts =
      absl::StrSplit(request.m_path, '/', absl::SkipEmpty());
  const bool post = request.m_method == "POST";
  if (parts.size() == 2 && post) {
    return CreateBatch(request, caller);
  }
  if (parts.size() == 4 && post && parts[3] == "cancel") {
    return CancelBatch(parts[2], caller);
  }
  if (post || parts.size() < 3) {
    return Fail(ResultCode::kMethodNotAllowed, "no such call");
  }
  const Result<KvEntry> entry = Load("batches", parts[2], caller);
  if (!entry) {
    return tl::unexpected<Error>(entry.error());
  }
  return PublicBatch(json::parse(entry->m_value));
}

Result<KvEntry> BatchService::Load(std::string_view kind,
                                   std::string_view id,
                                   const Caller& caller) {
  Result<std::optional<KvEntry>> entry = m_store.Get(
      absl::StrCat(m_prefix, std::string(kind), "/", std::string(id)));
  if (!entry) {
    return tl::unexpected<Error>(entry.error());
  }
  if (!*entry ||
      json::parse((*entry)->m_value).at("workspace") != caller.m_workspace) {
    return Fail(ResultCode::kNotFound,
                absl::StrCat("there is no ", std::string(id)));
  }
  return std::move(**entry);
}

Status BatchService::Save(std::string_view kind,
                          const json& record,
                          int64_t expected_revision) {
  json marked = record;
  marked["writer"] = RandomId();
  const Result<int64_t> done =
      m_store.Commit({{absl::StrCat(m_prefix, std::string(kind), "/",
                                    record.at("id").get<std::string>()),
                       marked.dump(), expected_revision}});
  if (!done) {
    return tl::unexpected<Error>(done.error());
  }
  return {};
}

Result<json> BatchService::CreateBatch(const HttpRequest& request,
                                       const Caller& caller) {
  const json body = json::parse(request.m_body, nullptr, false);
  if (body.is_discarded() || !body.is_object() ||
      !body.value("input_file_id", json()).is_string()) {
    return Fail(ResultCode::kMalformedBody,
                "the body must be a JSON object with \"input_file_id\"");
  }
  const Result<FileRecord> input = m_files.Find(
      body["input_file_id"].get_ref<const std::string&>(), caller.m_workspace);
  if (!input) {
    return tl::unexpected<Error>(input.error());
  }
  const json record = {
      {"id", "batch_" + RandomId()},
      {"object", "batch"},
      {"endpoint", body.value("endpoint", "/v1/chat/completions")},
      {"input_file_id", body["input_file_id"]},
      {"completion_window", body.value("completion_window", "24h")},
      {"status", "in_progress"},
      {"output_file_id", nullptr},
      {"created_at", WallNow().count() / 1000},
      {"request_counts", {{"total", 0}, {"completed", 0}, {"failed", 0}}},
      {"workspace", caller.m_workspace}};
  const Status saved = Save("batches", record, 0);
  if (!saved) {
    return tl::unexpected<Error>(saved.error());
  }
  const std::string id = record["id"];
  absl::MutexLock lock(&m_mutex);
  m_runners.emplace_back([this, id, caller] { RunJob(id, caller); });
  return PublicBatch(record);
}

Result<json> BatchService::CancelBatch(std::string_view id,
                                       const Caller& caller) {
  const Result<KvEntry> entry = Load("batches", id, caller);
  if (!entry) {
    return tl::unexpected<Error>(entry.error());
  }
  json record = json::parse(entry->m_value);
  if (record["status"] == "in_progress") {
    record["status"] = "cancelled";
    const Status saved = Save("batches", record, entry->m_mod_revision);
    if (!saved) {
      return tl::unexpected<Error>(saved.error());
    }
  }
  return PublicBatch(record);
}

void BatchService::RunJob(const std::string& id, const Caller& caller) {
  const Result<KvEntry> entry = Load("batches", id, caller);
  if (!entry) {
    LogError(Severity::kError, LogPart::kBatch, "Cannot read a job.",
             entry.error());
    return;
  }
  json record = json::parse(entry->m_value);
  const Result<FileRecord> input =
      m_files.Find(record["input_file_id"].get_ref<const std::string&>(),
                   caller.m_workspace);
  std::string output;
  int64_t total = 0;
  int64_t failed = 0;
  const Status read =
      input ? m_files.ReadLines(
                  *input, 0,
                  [&](std::string_view line) {
                    if (!IsBlankLine(line)) {
                      const std::string result = RunItem(line);
                      ++total;
                      failed += json::parse(result)["error"].is_null() ? 0 : 1;
                      output += result;
                    }
                    return !m_stopping;
                  })
            : tl::unexpected<Error>(input.error());
  if (!read) {
    LogError(Severity::kError, LogPart::kBatch, "Cannot read a job's input.",
             read.error());
    return;
  }
  if (m_stopping) {
    return;
  }
  const Result<FileRecord> file =
      m_files.Save("output.jsonl", "batch_output", caller.m_workspace, output);
  if (!file) {
    LogError(Severity::kError, LogPart::kBatch, "Cannot save a job's output.",
             file.error());
    return;
  }
  record["status"] = "completed";
  record["output_file_id"] = file->m_id;
  record["request_counts"] = {
      {"total", total}, {"completed", total - failed}, {"failed", failed}};
  const Status done = Save("batches", record, entry->m_mod_revision);
  if (!done) {
    LogError(Severity::kError, LogPart::kBatch, "Cannot finish a job.",
             done.error());
  }
}

std::string BatchService::RunItem(std::string_view line) {
  const Result<BatchItem> item = ParseBatchItem(line);
  if (!item) {
    return ErrorLine("", item.error());
  }
  std::vector<std::string> avoid;
  Error last{ResultCode::kNoUpstream, "no upstream could serve the item"};
  while (avoid.size() < kMaxItemTries) {
    const Result<PickedUpstream> upstream =
        m_upstreams.Pick({item->m_model, "", avoid}, item->m_custom_id);
    if (!upstream) {
      break;
    }
    HttpCall call;
    call.m_method = item->m_method;
    call.m_url = absl::StrCat(upstream->m_url, item->m_url);
    call.m_headers = {{"Content-Type", "application/json"}};
    call.m_body = item->m_body;
    call.m_timeout = kItemTimeout;
    const Result<HttpAnswer> answer = m_http.Call(call);
    if (answer && answer->m_status < 500) {
      return ResultLine(item->m_custom_id, *answer);
    }
    last = answer ? Error{ResultCode::kUpstreamFailed, "the upstream failed",
                          RunState::kUnknown}
                  : answer.error();
    avoid.push_back(upstream->m_name);
  }
  return ErrorLine(item->m_custom_id, last);
}

}  // namespace bronzecross
