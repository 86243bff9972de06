// The output and error files of jobs, read from their output ledgers.

#ifndef BRONZECROSS_BATCH_OUTPUT_FILES_H_
#define BRONZECROSS_BATCH_OUTPUT_FILES_H_

#include <optional>
#include <string>
#include <string_view>

#include "batch/job_store.h"
#include "batch/output_record.h"
#include "http/http_message.h"
#include "ledger/ledger.h"

namespace bronzecross {

// A file id of the form "file-out-<job>" or "file-err-<job>".
struct OutputFileId {
  std::string m_job;
  // kResult for the output file, kFailure for the error file.
  OutputKind m_kind = OutputKind::kResult;
};

// Returns std::nullopt if `id` is not the id of an output or error file.
std::optional<OutputFileId> ParseOutputFileId(std::string_view id);

// Returns the file object for GET /v1/files/<id>; the job must have ended.
nlohmann::json OutputFileObject(const OutputFileId& file, const JobRecord& job);

// Returns a reader for GET /v1/files/<id>/content that reads the lines page by
// page, each item once.
BodyReader ReadOutputFile(LedgerService& ledgers, const OutputFileId& file);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_OUTPUT_FILES_H_
