#include "ledger/copy_store.h"

#include <stdlib.h>

#include <filesystem>
#include <fstream>

#include <doctest/doctest.h>

#include "ledger/ledger_record.h"

namespace bronzecross {
namespace {

namespace fs = std::filesystem;

constexpr int64_t kLargeLimit = 1 << 30;

struct Folder {
  Folder() {
    std::string pattern =
        (fs::temp_directory_path() / "copies-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    m_path = pattern;
  }
  ~Folder() { fs::remove_all(m_path); }
  std::string SegmentFile() const { return m_path + "/led/0-0.seg"; }
  std::string m_path;
};

std::string Records(uint64_t first, uint64_t end, size_t size = 100) {
  std::string bytes;
  for (uint64_t sequence = first; sequence < end; ++sequence) {
    AppendRecord(bytes,
                 {sequence, 1, std::string(size, static_cast<char>(sequence))});
  }
  return bytes;
}

Result<uint64_t> Put(CopyStore& store,
                     uint64_t epoch,
                     uint64_t first,
                     const std::string& bytes) {
  return store.Append({"led", 0, 0, epoch, first, bytes});
}

ResultCode CodeOf(const Result<uint64_t>& result) {
  return result ? ResultCode::kOk : result.error().m_code;
}

void Fill(CopyStore& store, uint64_t count) {
  REQUIRE(Put(store, 1, 0, "") == 0);
  REQUIRE(Put(store, 1, 0, Records(0, count)) == count);
}

}  // namespace

TEST_CASE("a copy keeps its records and rejects gaps and old epochs") {
  Folder folder;
  {
    CopyStore store(folder.m_path, kLargeLimit);
    CHECK(CodeOf(Put(store, 1, 0, Records(0, 1))) == ResultCode::kConflict);
    Fill(store, 200);
    CHECK(Put(store, 1, 190, Records(190, 210)) == 210);
    CHECK(CodeOf(Put(store, 1, 211, Records(211, 212))) ==
          ResultCode::kConflict);
    CHECK(store.Fence("led", 5, 0)->m_next == 210);
    CHECK(CodeOf(Put(store, 4, 210, Records(210, 211))) == ResultCode::kFenced);
  }
  // The epoch must survive a restart, or a fenced writer could append again.
  CopyStore store(folder.m_path, kLargeLimit);
  CHECK(CodeOf(Put(store, 4, 210, Records(210, 211))) == ResultCode::kFenced);
  CHECK(Put(store, 5, 210, Records(210, 211)) == 211);
  const Result<CopyChunk> chunk = store.Read("led", 0, 130, 1000);
  REQUIRE(chunk.has_value());
  CHECK(chunk->m_bytes == Records(130, chunk->m_next));
  CHECK(chunk->m_next > 130);
  CHECK(store.Truncate("led", 0, 131).has_value());
  CHECK(store.State("led", 0).m_next == 131);
  CHECK(Put(store, 5, 131, Records(131, 300)) == 300);
  CHECK(store.Read("led", 0, 299, 1000)->m_bytes == Records(299, 300));
}

// Guards against a writer that can never switch to a new segment: if the store
// rejects the metadata of a new segment, its empty copies stay, and the next
// attempt uses the same number with a later first record.
TEST_CASE("an empty segment is replaced by one with another first record") {
  Folder folder;
  {
    CopyStore store(folder.m_path, kLargeLimit);
    Fill(store, 30);
    CHECK(store.Append({"led", 1, 30, 1, 30, ""}) == 30);
    CHECK(store.Append({"led", 1, 40, 1, 40, ""}) == 40);
    // Only a call that creates a segment may replace the empty one.
    CHECK(CodeOf(store.Append({"led", 1, 50, 1, 50, Records(50, 51)})) ==
          ResultCode::kConflict);
    CHECK(store.Append({"led", 1, 40, 1, 40, Records(40, 45)}) == 45);
    // A segment with records is never replaced.
    for (const uint64_t first : {45, 50}) {
      CHECK(CodeOf(store.Append({"led", 1, first, 1, first, ""})) ==
            ResultCode::kConflict);
    }
  }
  CopyStore store(folder.m_path, kLargeLimit);
  CHECK(store.State("led", 1).m_next == 45);
  CHECK(store.Read("led", 1, 40, 10'000)->m_bytes == Records(40, 45));
  CHECK(store.State("led", 0).m_next == 30);
}

// Guards against a torn write that makes a copy unusable, and against
// corruption that is taken for a torn write, which would make the copy a
// shorter valid one.
TEST_CASE("torn tails are truncated and damage is reported") {
  for (const bool torn : {true, false}) {
    for (const int offset : {8, 24, 40, 132 * 100 + 8, 132 * 100 + 24}) {
      Folder folder;
      {
        CopyStore store(folder.m_path, kLargeLimit);
        Fill(store, 200);
      }
      if (torn) {
        fs::resize_file(folder.SegmentFile(), offset + 132 * 7);
      } else {
        std::fstream file(folder.SegmentFile(),
                          std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(offset);
        file.put('\x7f');
      }
      CopyStore store(folder.m_path, kLargeLimit);
      const CopyState state = store.State("led", 0);
      CHECK(state.m_present);
      CHECK(state.m_damaged == !torn);
      CHECK(state.m_next ==
            static_cast<uint64_t>(offset) / 132 + (torn ? 7 : 0));
      CHECK(CodeOf(Put(store, 1, state.m_next, Records(state.m_next, 300))) ==
            (torn ? ResultCode::kOk : ResultCode::kCorrupt));
    }
  }
}

TEST_CASE("a full folder rejects appends and keeps its records") {
  Folder folder;
  CopyStore store(folder.m_path, 132 * 250);
  Fill(store, 200);
  CHECK(CodeOf(Put(store, 1, 200, Records(200, 300))) == ResultCode::kDiskFull);
  CHECK(store.State("led", 0).m_next == 200);
  CHECK(Put(store, 1, 200, Records(200, 210)) == 210);
  store.Drop("led");
  CHECK(store.UsedBytes() == 0);
}

TEST_CASE("records larger than max_bytes are read whole") {
  Folder folder;
  CopyStore store(folder.m_path, kLargeLimit);
  REQUIRE(Put(store, 1, 0, "") == 0);
  for (uint64_t sequence = 0; sequence < 8; ++sequence) {
    REQUIRE(Put(store, 1, sequence, Records(sequence, sequence + 1, 3 << 20)) ==
            sequence + 1);
  }
  CopyStore reopened(folder.m_path, kLargeLimit);
  for (uint64_t sequence = 0; sequence < 8; ++sequence) {
    const Result<CopyChunk> chunk = reopened.Read("led", 0, sequence, 1000);
    REQUIRE(chunk.has_value());
    CHECK(chunk->m_next > sequence);
    CHECK(chunk->m_bytes.starts_with(Records(sequence, sequence + 1, 3 << 20)));
  }
}

}  // namespace bronzecross
