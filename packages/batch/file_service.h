// The files of workspaces: streamed in and out, each one ledger and one record
// in the store.

#ifndef BRONZECROSS_BATCH_FILE_SERVICE_H_
#define BRONZECROSS_BATCH_FILE_SERVICE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "batch/file_record.h"
#include "config/config_holder.h"
#include "http/http_message.h"
#include "ledger/ledger.h"
#include "store/kv_client.h"

namespace bronzecross {

// Thread-safe.
class FileService {
 public:
  // Records lie under `prefix` + "files/".
  FileService(ConfigHolder& config,
              KvClient& store,
              LedgerService& ledgers,
              std::string prefix,
              int64_t max_file_bytes);

  // What to do with the body of POST /v1/files: streamed into a ledger, or
  // refused if the key is not valid.
  BodyPlan PlanUpload(HttpRequest& request);

  // Everything under /v1/files for a caller of `workspace`. `body` is the
  // outcome of streaming the request's body.
  HttpReply Handle(const HttpRequest& request,
                   std::string_view workspace,
                   const Status& body);

  // Fails with kNotFound if there is no such file in the workspace.
  Result<FileRecord> Find(std::string_view id, std::string_view workspace);

  // Gives each line from record `first` on, with its line end; blank lines
  // too. Return false from `visit` to stop.
  Status ReadLines(const FileRecord& file,
                   uint64_t first,
                   const std::function<bool(std::string_view)>& visit);

  // Makes a file of `content`, or of a sealed ledger whose records are lines.
  Result<FileRecord> Save(std::string_view name,
                          std::string_view purpose,
                          std::string_view workspace,
                          std::string_view content);
  Status Publish(const FileRecord& file);

 private:
  Result<FileRecord> FinishUpload(const HttpRequest& request,
                                  const Status& body);
  Result<nlohmann::json> List(std::string_view workspace);
  Result<nlohmann::json> Remove(std::string_view id,
                                std::string_view workspace);
  HttpReply Content(const FileRecord& file);
  std::string Key(std::string_view id) const;

  ConfigHolder& m_config;
  KvClient& m_store;
  LedgerService& m_ledgers;
  const std::string m_prefix;
  const int64_t m_max_file_bytes;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_FILE_SERVICE_H_
