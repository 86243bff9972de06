// Reads the lines of a job's input from its ledger in chunks.

#ifndef BRONZECROSS_BATCH_INPUT_READER_H_
#define BRONZECROSS_BATCH_INPUT_READER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "ledger/ledger.h"

namespace bronzecross {

// The ledger with a file's content, and the record at which the content starts.
struct InputFile {
  std::string m_ledger;
  uint64_t m_first = 0;
};

class InputReader {
 public:
  InputReader(LedgerService& ledgers, InputFile file);

  // Reads about `max_bytes` more and calls `visit` for each line that is not
  // blank. Returns false at the end of the input. A failed call can be
  // repeated; no line is lost or visited twice.
  Result<bool> ReadLines(size_t max_bytes,
                         const std::function<void(std::string_view)>& visit);

 private:
  LedgerService& m_ledgers;
  const InputFile m_file;
  uint64_t m_next;
  // The part that has been read of a line whose end has not.
  std::string m_partial_line;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_INPUT_READER_H_
