#include "batch/file_service.h"

#include <algorithm>
#include <memory>

#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "base/metrics.h"
#include "batch/file_writer.h"
#include "http/http_error_reply.h"
#include "online/authenticator.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr size_t kContentBlockBytes = 512 * 1024;

HttpReply ToReply(const Result<json>& result) {
  return result ? JsonReply(200, result->dump()) : ErrorReply(result.error());
}

}  // namespace

FileService::FileService(ConfigHolder& config,
                         KvClient& store,
                         LedgerService& ledgers,
                         std::string prefix,
                         int64_t max_file_bytes)
    : m_config(config),
      m_store(store),
      m_ledgers(ledgers),
      m_prefix(prefix + "files/"),
      m_max_file_bytes(max_file_bytes) {}

std::string FileService::Key(std::string_view id) const {
  return m_prefix + std::string(id);
}

BodyPlan FileService::PlanUpload(HttpRequest& request) {
  BodyPlan plan;
  plan.m_max_bytes = m_max_file_bytes;
  const Result<Caller> caller = Authenticate(request, *m_config.Get());
  if (!caller) {
    plan.m_refusal = ErrorReply(caller.error());
    return plan;
  }
  const std::shared_ptr<FileWriter> writer =
      std::make_shared<FileWriter>(m_ledgers, caller->m_workspace);
  request.m_sink_state = writer;
  plan.m_sink = [writer](std::string_view piece) {
    return writer->Write(piece);
  };
  return plan;
}

HttpReply FileService::Handle(const HttpRequest& request,
                              std::string_view workspace,
                              const Status& body) {
  const std::vector<std::string> segments =
      absl::StrSplit(request.m_path, '/', absl::SkipEmpty());
  const std::string& method = request.m_method;
  if (segments.size() == 2 && method == "POST") {
    const Result<FileRecord> file = FinishUpload(request, body);
    return file ? JsonReply(200, PublicFile(*file).dump())
                : ErrorReply(file.error());
  }
  if (segments.size() == 2 && method == "GET") {
    return ToReply(List(workspace));
  }
  const bool content = segments.size() == 4 && segments[3] == "content";
  if (segments.size() == 3 && method == "DELETE") {
    return ToReply(Remove(segments[2], workspace));
  }
  if (method != "GET" || (segments.size() != 3 && !content)) {
    return ErrorReply(Fail(ResultCode::kMethodNotAllowed,
                           "the path does not support this request method")
                          .value());
  }
  const Result<FileRecord> file = Find(segments[2], workspace);
  if (!file) {
    return ErrorReply(file.error());
  }
  return content ? ContentReply(*file)
                 : JsonReply(200, PublicFile(*file).dump());
}

Result<FileRecord> FileService::FinishUpload(const HttpRequest& request,
                                             const Status& body) {
  FileWriter* writer = static_cast<FileWriter*>(request.m_sink_state.get());
  if (writer == nullptr) {
    return Fail(ResultCode::kInternal, "the request body was not streamed");
  }
  if (!body) {
    return tl::unexpected<Error>(body.error());
  }
  Result<FileRecord> file = writer->Finish();
  if (!file) {
    return file;
  }
  file->m_name = request.m_file_name;
  const auto purpose = request.m_form.find("purpose");
  file->m_purpose = purpose != request.m_form.end() ? purpose->second : "batch";
  const Status published = Publish(*file);
  if (!published) {
    if (published.error().m_run == RunState::kUnknown) {
      writer->Keep();
    }
    return tl::unexpected<Error>(published.error());
  }
  writer->Keep();
  CountMetric("bronzecross_files_total", {{"workspace", file->m_workspace}});
  Log(Severity::kInfo, LogPart::kBatch, "Stored an uploaded file.",
      {{"file", file->m_id},
       {"bytes", file->m_bytes},
       {"lines", file->m_lines}});
  return file;
}

Status FileService::Publish(const FileRecord& file) {
  const Result<int64_t> saved =
      m_store.Commit({{Key(file.m_id), SerializeFileRecord(file), 0}});
  return saved ? Status() : tl::unexpected<Error>(saved.error());
}

Result<FileRecord> FileService::Save(std::string_view name,
                                     std::string_view purpose,
                                     std::string_view workspace,
                                     std::string_view content) {
  FileWriter writer(m_ledgers, std::string(workspace));
  const Status written = writer.Write(content);
  if (!written) {
    return tl::unexpected<Error>(written.error());
  }
  Result<FileRecord> file = writer.Finish();
  if (!file) {
    return file;
  }
  file->m_name = name;
  file->m_purpose = purpose;
  const Status published = Publish(*file);
  if (published || published.error().m_run == RunState::kUnknown) {
    writer.Keep();
  }
  return published ? file : tl::unexpected<Error>(published.error());
}

Result<FileRecord> FileService::Find(std::string_view id,
                                     std::string_view workspace) {
  const Result<std::optional<KvEntry>> entry = m_store.Get(Key(id));
  if (!entry) {
    return tl::unexpected<Error>(entry.error());
  }
  Result<FileRecord> file =
      *entry ? ParseFileRecord((*entry)->m_value) : FileRecord();
  if (file && file->m_workspace != workspace) {
    return Fail(ResultCode::kNotFound, "there is no such file");
  }
  return file;
}

Result<json> FileService::List(std::string_view workspace) {
  const Result<KvRange> range = m_store.List(m_prefix);
  if (!range) {
    return tl::unexpected<Error>(range.error());
  }
  json data = json::array();
  for (const KvEntry& entry : range->m_entries) {
    const Result<FileRecord> file = ParseFileRecord(entry.m_value);
    if (file && file->m_workspace == workspace) {
      data.push_back(PublicFile(*file));
    }
  }
  return json{{"object", "list"}, {"data", std::move(data)}};
}

Result<json> FileService::Remove(std::string_view id,
                                 std::string_view workspace) {
  const Result<FileRecord> file = Find(id, workspace);
  if (!file) {
    return tl::unexpected<Error>(file.error());
  }
  const Result<std::optional<KvEntry>> entry = m_store.Get(Key(id));
  if (!entry) {
    return tl::unexpected<Error>(entry.error());
  }
  if (*entry) {
    const Result<int64_t> removed =
        m_store.Commit({{Key(id), "", (*entry)->m_mod_revision, 0, true}});
    if (!removed) {
      return tl::unexpected<Error>(removed.error());
    }
    const Status dropped = m_ledgers.Delete(file->m_ledger);
    if (!dropped) {
      LogError(Severity::kWarning, LogPart::kBatch,
               "Cannot delete the ledger of a deleted file.", dropped.error());
    }
  }
  return json{{"id", id}, {"object", "file"}, {"deleted", true}};
}

Status FileService::ReadLines(
    const FileRecord& file,
    uint64_t first,
    const std::function<bool(std::string_view)>& visit) {
  return m_ledgers.Read(
      file.m_ledger, first,
      [&visit](const LedgerRecord& record) { return visit(record.m_payload); });
}

HttpReply FileService::ContentReply(const FileRecord& file) {
  struct ReadState {
    FileRecord m_file;
    uint64_t m_next = 0;
    std::string m_block;
    size_t m_sent = 0;
  };
  const std::shared_ptr<ReadState> state = std::make_shared<ReadState>();
  state->m_file = file;
  HttpReply reply;
  reply.m_headers.push_back({"Content-Type", "application/jsonl"});
  reply.m_reader = [this, state](std::span<char> buffer) -> Result<size_t> {
    if (state->m_sent == state->m_block.size()) {
      state->m_block.clear();
      state->m_sent = 0;
      const Status read = ReadLines(
          state->m_file, state->m_next, [&state](std::string_view line) {
            state->m_block += line;
            ++state->m_next;
            return state->m_block.size() < kContentBlockBytes;
          });
      if (!read) {
        return tl::unexpected<Error>(read.error());
      }
    }
    const size_t count =
        std::min(buffer.size(), state->m_block.size() - state->m_sent);
    std::copy_n(state->m_block.data() + state->m_sent, count, buffer.data());
    state->m_sent += count;
    return count;
  };
  return reply;
}

}  // namespace bronzecross
