#include "batch/file_writer.h"

#include "base/log.h"
#include "base/random.h"

namespace bronzecross {
namespace {

constexpr size_t kBlockBytes = 1 << 20;

}  // namespace

FileWriter::FileWriter(LedgerService& ledgers, std::string workspace)
    : m_ledgers(ledgers) {
  m_file.m_id = "file-" + RandomId();
  m_file.m_workspace = std::move(workspace);
  m_file.m_created_at = WallNow().count() / 1000;
  m_file.m_ledger = m_file.m_id;
}

FileWriter::~FileWriter() {
  if (m_keep || m_writer == nullptr) {
    return;
  }
  m_writer.reset();
  const Status removed = m_ledgers.Delete(m_file.m_ledger);
  if (!removed) {
    LogError(Severity::kWarning, LogPart::kBatch,
             "Cannot delete the ledger of an incomplete file.",
             removed.error());
  }
}

void FileWriter::EndLine() {
  m_file.m_lines += IsBlankLine(m_line) ? 0 : 1;
  m_block_bytes += m_line.size();
  m_block.push_back(std::move(m_line));
  m_line.clear();
}

Status FileWriter::Write(std::string_view piece) {
  m_file.m_bytes += static_cast<int64_t>(piece.size());
  while (m_status && !piece.empty()) {
    const size_t end = piece.find('\n');
    const bool complete = end != std::string_view::npos;
    const size_t length = complete ? end + 1 : piece.size();
    if (m_line.size() + length > kMaxRecordBytes) {
      m_status = Fail(ResultCode::kMalformedBody,
                      "a line is longer than the maximum record size");
      break;
    }
    m_line.append(piece.substr(0, length));
    piece.remove_prefix(length);
    if (complete) {
      EndLine();
    }
    if (m_block_bytes >= kBlockBytes) {
      m_status = Flush();
    }
  }
  return m_status;
}

Status FileWriter::Flush() {
  if (m_writer == nullptr) {
    Result<std::unique_ptr<LedgerWriter>> writer =
        m_ledgers.Create(m_file.m_ledger);
    if (!writer) {
      return tl::unexpected<Error>(writer.error());
    }
    m_writer = std::move(*writer);
  }
  if (m_block.empty()) {
    return {};
  }
  const Result<uint64_t> appended = m_writer->Append(m_block);
  m_block.clear();
  m_block_bytes = 0;
  return appended ? Status() : tl::unexpected<Error>(appended.error());
}

Result<FileRecord> FileWriter::Finish() {
  if (m_status && !m_line.empty()) {
    EndLine();
  }
  if (m_status) {
    m_status = Flush();
  }
  if (m_status) {
    m_status = m_writer->Seal();
  }
  if (!m_status) {
    return tl::unexpected<Error>(m_status.error());
  }
  return m_file;
}

}  // namespace bronzecross
