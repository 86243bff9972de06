// Writes a file into a new ledger as its bytes arrive, one record for each
// line. Buffers about one block of whole lines.

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
  // Deletes the ledger unless Keep() was called.
  ~FileWriter();
  FileWriter(const FileWriter&) = delete;
  FileWriter& operator=(const FileWriter&) = delete;

  // Blocks while a block is appended to the ledger. Fails with kMalformedBody
  // for a line longer than kMaxRecordBytes, or as LedgerWriter::Append() does;
  // the file can't be completed then, and all later calls return the same
  // error.
  Status Write(std::string_view piece);

  // Makes all lines durable, seals the ledger and returns the file's record.
  // The caller sets the name and purpose in the record.
  Result<FileRecord> Finish();

  // Keeps the ledger when the writer is destroyed. To be called if the file's
  // record was written or may have been written.
  void Keep() { m_keep = true; }

 private:
  Status Flush();
  void EndLine();

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
