#include "batch/input_reader.h"

namespace bronzecross {
namespace {

void VisitLine(std::string_view line,
               const std::function<void(std::string_view)>& visit) {
  if (line.find_first_not_of(" \t\r") != std::string_view::npos) {
    visit(line);
  }
}

}  // namespace

InputReader::InputReader(LedgerService& ledgers, InputFile file)
    : m_ledgers(ledgers), m_file(std::move(file)), m_next(m_file.m_first) {}

Result<bool> InputReader::ReadLines(
    size_t max_bytes,
    const std::function<void(std::string_view)>& visit) {
  size_t bytes = 0;
  std::string text;
  uint64_t next = m_next;
  const Status read =
      m_ledgers.Read(m_file.m_ledger, m_next, [&](const LedgerRecord& record) {
        text += record.m_payload;
        bytes += record.m_payload.size();
        next = record.m_sequence + 1;
        return bytes < max_bytes;
      });
  if (!read) {
    return tl::unexpected<Error>(read.error());
  }
  const bool more = next != m_next;
  m_next = next;
  m_partial_line += text;
  std::string_view remaining = m_partial_line;
  for (size_t end = remaining.find('\n'); end != std::string_view::npos;
       end = remaining.find('\n')) {
    VisitLine(remaining.substr(0, end), visit);
    remaining.remove_prefix(end + 1);
  }
  if (!more) {
    VisitLine(remaining, visit);
    m_partial_line.clear();
    return false;
  }
  m_partial_line = std::string(remaining);
  return true;
}

}  // namespace bronzecross
