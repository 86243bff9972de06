// Reads the lines of a job's input from its ledger, a part at a time.

#ifndef BRONZECROSS_BATCH_INPUT_READER_H_
#define BRONZECROSS_BATCH_INPUT_READER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "ledger/ledger.h"

namespace bronzecross {

// Where a file's bytes lie.
struct InputFile {
  std::string m_ledger;
  uint64_t m_first = 0;
};

class InputReader {
 public:
  InputReader(LedgerService& ledgers, InputFile file);

  // Reads about `max_bytes` further and gives each line that is not blank to
  // `take`. Returns false at the end of the input. After a failure the call can
  // be repeated; no line is lost or given twice.
  Result<bool> ReadLines(size_t max_bytes,
                         const std::function<void(std::string_view)>& take);

 private:
  LedgerService& m_ledgers;
  const InputFile m_file;
  uint64_t m_next;
  // The unfinished last line.
  std::string m_rest;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_INPUT_READER_H_
