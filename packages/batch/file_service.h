// Stores the files of workspaces. Each file is one ledger and one record in the
// store; its content is streamed on upload and download.

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
  // The records are stored under `prefix` + "files/".
  FileService(ConfigHolder& config,
              KvClient& store,
              LedgerService& ledgers,
              std::string prefix,
              int64_t max_file_bytes);

  // Decides how the body of POST /v1/files is received: streamed into a ledger,
  // or rejected if the API key is not valid.
  BodyPlan PlanUpload(HttpRequest& request);

  // Handles all requests under /v1/files for a caller of `workspace`. `body` is
  // the result of receiving a streamed request body.
  HttpReply Handle(const HttpRequest& request,
                   std::string_view workspace,
                   const Status& body);

  // Fails with kNotFound if there is no such file in the workspace.
  Result<FileRecord> Find(std::string_view id, std::string_view workspace);

  // Calls `visit` for each line from record `first` on, including blank lines
  // and with its line end, until `visit` returns false.
  Status ReadLines(const FileRecord& file,
                   uint64_t first,
                   const std::function<bool(std::string_view)>& visit);

  // Creates a file with `content`.
  Result<FileRecord> Save(std::string_view name,
                          std::string_view purpose,
                          std::string_view workspace,
                          std::string_view content);
  // Writes the store record of a file whose ledger is sealed.
  Status Publish(const FileRecord& file);

 private:
  Result<FileRecord> FinishUpload(const HttpRequest& request,
                                  const Status& body);
  Result<nlohmann::json> List(std::string_view workspace);
  Result<nlohmann::json> Remove(std::string_view id,
                                std::string_view workspace);
  HttpReply ContentReply(const FileRecord& file);
  std::string Key(std::string_view id) const;

  ConfigHolder& m_config;
  KvClient& m_store;
  LedgerService& m_ledgers;
  const std::string m_prefix;
  const int64_t m_max_file_bytes;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_FILE_SERVICE_H_
