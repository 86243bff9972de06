#include "ledger/copy_store.h"

#include <stdlib.h>

#include <filesystem>
#include <fstream>

#include <doctest/doctest.h>

#include "ledger/ledger_record.h"

namespace bronzecross {
namespace {

namespace fs = std::filesystem;

constexpr int64_t kRoomy = 1 << 30;

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
  for (uint64_t at = first; at < end; ++at) {
    AppendRecord(bytes, {at, 1, std::string(size, static_cast<char>(at))});
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

TEST_CASE("a copy keeps its records and refuses gaps and old epochs") {
  Folder folder;
  {
    CopyStore store(folder.m_path, kRoomy);
    CHECK(CodeOf(Put(store, 1, 0, Records(0, 1))) == ResultCode::kConflict);
    Fill(store, 200);
    CHECK(Put(store, 1, 190, Records(190, 210)) == 210);
    CHECK(CodeOf(Put(store, 1, 211, Records(211, 212))) ==
          ResultCode::kConflict);
    CHECK(store.Fence("led", 5, 0)->m_next == 210);
    CHECK(CodeOf(Put(store, 4, 210, Records(210, 211))) == ResultCode::kFenced);
  }
  // The epoch must outlive a restart, or a paused writer could go on.
  CopyStore store(folder.m_path, kRoomy);
  CHECK(CodeOf(Put(store, 4, 210, Records(210, 211))) == ResultCode::kFenced);
  CHECK(Put(store, 5, 210, Records(210, 211)) == 211);
  const Result<CopyChunk> chunk = store.Read("led", 0, 130, 1000);
  REQUIRE(chunk.has_value());
  CHECK(chunk->m_bytes == Records(130, chunk->m_next));
  CHECK(chunk->m_next > 130);
  CHECK(store.CutBack("led", 0, 131).has_value());
  CHECK(store.State("led", 0).m_next == 131);
  CHECK(Put(store, 5, 131, Records(131, 300)) == 300);
  CHECK(store.Read("led", 0, 299, 1000)->m_bytes == Records(299, 300));
}

// Guards against a writer that can never move on: a move that the store did not
// take leaves empty copies, and the next move begins at a later record.
TEST_CASE("an empty segment gives way to one that begins elsewhere") {
  Folder folder;
  {
    CopyStore store(folder.m_path, kRoomy);
    Fill(store, 30);
    CHECK(store.Append({"led", 1, 30, 1, 30, ""}) == 30);
    CHECK(store.Append({"led", 1, 40, 1, 40, ""}) == 40);
    // Only a call that makes a segment may do so.
    CHECK(CodeOf(store.Append({"led", 1, 50, 1, 50, Records(50, 51)})) ==
          ResultCode::kConflict);
    CHECK(store.Append({"led", 1, 40, 1, 40, Records(40, 45)}) == 45);
    // Records are never given up.
    for (const uint64_t first : {45, 50}) {
      CHECK(CodeOf(store.Append({"led", 1, first, 1, first, ""})) ==
            ResultCode::kConflict);
    }
  }
  CopyStore store(folder.m_path, kRoomy);
  CHECK(store.State("led", 1).m_next == 45);
  CHECK(store.Read("led", 1, 40, 10'000)->m_bytes == Records(40, 45));
  CHECK(store.State("led", 0).m_next == 30);
}

// Guards against a torn tail that stops a copy, and against damage that passes
// for a torn tail and so for a shorter valid copy.
TEST_CASE("torn tails are cut back and damage is reported") {
  for (const bool torn : {true, false}) {
    for (const int place : {8, 24, 40, 132 * 100 + 8, 132 * 100 + 24}) {
      Folder folder;
      {
        CopyStore store(folder.m_path, kRoomy);
        Fill(store, 200);
      }
      if (torn) {
        fs::resize_file(folder.SegmentFile(), place + 132 * 7);
      } else {
        std::fstream file(folder.SegmentFile(),
                          std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(place);
        file.put('\x7f');
      }
      CopyStore store(folder.m_path, kRoomy);
      const CopyState state = store.State("led", 0);
      CHECK(state.m_present);
      CHECK(state.m_damaged == !torn);
      CHECK(state.m_next ==
            static_cast<uint64_t>(place) / 132 + (torn ? 7 : 0));
      CHECK(CodeOf(Put(store, 1, state.m_next, Records(state.m_next, 300))) ==
            (torn ? ResultCode::kOk : ResultCode::kCorrupt));
    }
  }
}

TEST_CASE("a full folder refuses appends and keeps what it has") {
  Folder folder;
  CopyStore store(folder.m_path, 132 * 250);
  Fill(store, 200);
  CHECK(CodeOf(Put(store, 1, 200, Records(200, 300))) == ResultCode::kDiskFull);
  CHECK(store.State("led", 0).m_next == 200);
  CHECK(Put(store, 1, 200, Records(200, 210)) == 210);
  store.Drop("led");
  CHECK(store.UsedBytes() == 0);
}

TEST_CASE("records larger than a read are given whole") {
  Folder folder;
  CopyStore store(folder.m_path, kRoomy);
  REQUIRE(Put(store, 1, 0, "") == 0);
  for (uint64_t at = 0; at < 8; ++at) {
    REQUIRE(Put(store, 1, at, Records(at, at + 1, 3 << 20)) == at + 1);
  }
  CopyStore again(folder.m_path, kRoomy);
  for (uint64_t at = 0; at < 8; ++at) {
    const Result<CopyChunk> chunk = again.Read("led", 0, at, 1000);
    REQUIRE(chunk.has_value());
    CHECK(chunk->m_next > at);
    CHECK(chunk->m_bytes.starts_with(Records(at, at + 1, 3 << 20)));
  }
}

}  // namespace bronzecross
