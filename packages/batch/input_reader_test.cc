#include "batch/input_reader.h"

#include <doctest/doctest.h>

#include "batch/memory_ledger.h"

namespace bronzecross {

// Guards against lines that are lost, split or duplicated at the boundaries of
// records or read chunks.
TEST_CASE("lines do not depend on how the file is split into records") {
  const std::string text = "one\n\ntwo\r\n  \nthree, without an end";
  for (size_t size = 1; size <= text.size(); ++size) {
    MemoryLedgers ledgers;
    const Result<std::unique_ptr<LedgerWriter>> writer = ledgers.Create("f");
    std::vector<std::string> pieces = {"header"};
    for (size_t at = 0; at < text.size(); at += size) {
      pieces.push_back(text.substr(at, size));
    }
    REQUIRE((*writer)->Append(pieces).has_value());
    InputReader reader(ledgers, {"f", 1});
    std::vector<std::string> lines;
    bool more = true;
    while (more) {
      const Result<bool> read = reader.ReadLines(
          3, [&](std::string_view line) { lines.emplace_back(line); });
      REQUIRE(read.has_value());
      more = *read;
    }
    CHECK(lines ==
          std::vector<std::string>{"one", "two\r", "three, without an end"});
  }
}

}  // namespace bronzecross
