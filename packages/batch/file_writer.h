// Writes a file's bytes into a new ledger as they arrive, one record for each
// line, holding back no more than a block.

#ifndef BRONZECROSS_BATCH_FILE_WRITER_H_
#define BRONZECROSS_BATCH_FILE_WRITER_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "batch/file_record.h"
#include "ledger/ledger.h"

namespace bronzecross {

// Not thread-safe.
class FileWriter {
 public:
  FileWriter(LedgerService& ledgers, std::string workspace);
  // Removes the ledger unless Finish() succeeded.
  ~FileWriter();
  FileWriter(const FileWriter&) = delete;
  FileWriter& operator=(const FileWriter&) = delete;

  // Blocks while the ledger takes a block. Fails with kMalformedBody for a line
  // longer than kMaxRecordBytes, or as LedgerWriter::Append() does; the file
  // is lost then and later calls fail alike.
  Status Write(std::string_view piece);

  // Makes everything durable and seals the ledger. The name and purpose of the
  // record are left to the caller.
  Result<FileRecord> Finish();

  // The caller has recorded the file, or cannot know whether it has.
  void Keep() { m_keep = true; }

 private:
  Status Flush();
  void TakeLine();

  LedgerService& m_ledgers;
  FileRecord m_file;
  std::unique_ptr<LedgerWriter> m_writer;
  std::string m_line;
  std::vector<std::string> m_block;
  size_t m_block_bytes = 0;
  Status m_status;
  bool m_keep = false;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_FILE_WRITER_H_
