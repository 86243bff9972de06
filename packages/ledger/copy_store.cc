#include "ledger/copy_store.h"

#include <chrono>
#include <filesystem>
#include <fstream>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include "base/log.h"
#include "ledger/file_ops.h"
#include "ledger/ledger_metadata.h"
#include "ledger/ledger_record.h"

namespace bronzecross {
namespace {

namespace fs = std::filesystem;

constexpr const char* kEpochFile = "epoch";
constexpr const char* kSegmentSuffix = ".seg";

std::string SegmentName(uint64_t number, uint64_t first) {
  return absl::StrCat(number, "-", first, kSegmentSuffix);
}

CopyState MakeState(const LocalSegment& segment) {
  return CopyState{true, segment.IsDamaged(), segment.Next()};
}

}  // namespace

CopyStore::CopyStore(std::string folder, int64_t max_bytes)
    : m_folder(std::move(folder)), m_max_bytes(max_bytes) {
  std::error_code error;
  fs::create_directories(m_folder, error);
  for (const fs::directory_entry& entry :
       fs::directory_iterator(m_folder, error)) {
    if (entry.is_directory() && IsLedgerId(entry.path().filename().string())) {
      Load(entry.path().filename().string());
    }
  }
}

std::string CopyStore::Folder(std::string_view ledger) const {
  return absl::StrCat(m_folder, "/", std::string(ledger));
}

void CopyStore::Load(const std::string& name) {
  const std::shared_ptr<Ledger> ledger = std::make_shared<Ledger>();
  absl::MutexLock lock(&ledger->m_mutex);
  std::error_code error;
  for (const fs::directory_entry& entry :
       fs::directory_iterator(Folder(name), error)) {
    const std::string file = entry.path().filename().string();
    if (file == kEpochFile) {
      std::ifstream(entry.path()) >> ledger->m_epoch;
      continue;
    }
    const std::vector<std::string> parts =
        absl::StrSplit(file, absl::ByAnyChar("-."));
    uint64_t number = 0;
    uint64_t first = 0;
    if (parts.size() == 3 && file.ends_with(kSegmentSuffix) &&
        absl::SimpleAtoi(parts[0], &number) &&
        absl::SimpleAtoi(parts[1], &first)) {
      ledger->m_segments.emplace(number,
                                 LocalSegment(entry.path().string(), first));
      m_used_bytes += static_cast<int64_t>(entry.file_size(error));
    }
  }
  absl::MutexLock store_lock(&m_mutex);
  m_ledgers[name] = ledger;
}

std::shared_ptr<CopyStore::Ledger> CopyStore::Find(std::string_view ledger,
                                                   bool create) {
  absl::MutexLock lock(&m_mutex);
  const auto found = m_ledgers.find(ledger);
  if (found != m_ledgers.end()) {
    return found->second;
  }
  if (!create || !IsLedgerId(ledger)) {
    return nullptr;
  }
  return m_ledgers[std::string(ledger)] = std::make_shared<Ledger>();
}

Status CopyStore::RaiseEpoch(std::string_view name,
                             Ledger& ledger,
                             uint64_t epoch) {
  if (epoch <= ledger.m_epoch) {
    return {};
  }
  std::error_code error;
  const std::string folder = Folder(name);
  if (ledger.m_epoch == 0 && fs::create_directories(folder, error)) {
    const Status synced = SyncFolder(m_folder);
    if (!synced) {
      return synced;
    }
  }
  const Status written =
      ReplaceFile(absl::StrCat(folder, "/", kEpochFile), std::to_string(epoch));
  if (written) {
    ledger.m_epoch = epoch;
  }
  return written;
}

// If a writer creates a segment but cannot save it in the metadata, its empty
// file stays. The next attempt reuses the segment number and may start at a
// different sequence number.
Status CopyStore::RemoveEmptySegment(LocalSegment& segment, bool create) {
  const Status checked = segment.Check();
  if (!checked) {
    return checked;
  }
  if (!create || segment.IsDamaged() || segment.Next() != segment.First()) {
    return Fail(ResultCode::kConflict,
                "the segment on this VM starts at a different sequence number");
  }
  std::error_code error;
  fs::remove(segment.Path(), error);
  return error ? Status(Fail(ResultCode::kInternal,
                             absl::StrCat("cannot remove ", segment.Path(),
                                          ": ", error.message())))
               : Status();
}

Result<LocalSegment*> CopyStore::OpenSegment(const CopyAppend& append,
                                             Ledger& ledger) {
  // An append of records must not create the file: a copy that lost its disk
  // has also lost its fencing epoch and must not accept records of a fenced
  // writer.
  const bool create = (append.m_bytes.empty() || append.m_repair) &&
                      append.m_first == append.m_segment_first;
  auto found = ledger.m_segments.find(append.m_segment);
  if (found != ledger.m_segments.end() &&
      found->second.First() != append.m_segment_first) {
    const Status removed = RemoveEmptySegment(found->second, create);
    if (!removed) {
      return tl::unexpected<Error>(removed.error());
    }
    ledger.m_segments.erase(found);
    found = ledger.m_segments.end();
  }
  if (found == ledger.m_segments.end()) {
    if (!create) {
      return Fail(ResultCode::kConflict, "this VM has no copy of the segment");
    }
    const std::string path =
        absl::StrCat(Folder(append.m_ledger), "/",
                     SegmentName(append.m_segment, append.m_segment_first));
    const Status created = LocalSegment::Create(path);
    if (!created) {
      return tl::unexpected<Error>(created.error());
    }
    found = ledger.m_segments
                .emplace(append.m_segment,
                         LocalSegment(path, append.m_segment_first))
                .first;
  }
  const Status checked = found->second.Check();
  if (!checked) {
    return tl::unexpected<Error>(checked.error());
  }
  return &found->second;
}

Result<uint64_t> CopyStore::Append(const CopyAppend& append) {
  const int64_t size = static_cast<int64_t>(append.m_bytes.size());
  const std::shared_ptr<Ledger> ledger = Find(append.m_ledger, true);
  if (ledger == nullptr) {
    return Fail(ResultCode::kInvalidArgument, "the ledger id is not valid");
  }
  absl::MutexLock lock(&ledger->m_mutex);
  if (ledger->m_dropped ||
      (!append.m_repair && append.m_epoch < ledger->m_epoch)) {
    return Fail(ResultCode::kFenced, "a newer writer has taken over");
  }
  if (m_used_bytes + size >= m_max_bytes) {
    return Fail(ResultCode::kDiskFull, "the data folder is full");
  }
  const Status raised = RaiseEpoch(append.m_ledger, *ledger,
                                   append.m_repair ? 1 : append.m_epoch);
  if (!raised) {
    return tl::unexpected<Error>(raised.error());
  }
  const Result<LocalSegment*> segment = OpenSegment(append, *ledger);
  if (!segment) {
    return tl::unexpected<Error>(segment.error());
  }
  if ((*segment)->IsDamaged()) {
    return Fail(ResultCode::kCorrupt, "the segment on this VM is damaged");
  }
  std::string_view rest = append.m_bytes;
  const uint64_t next = (*segment)->Next();
  if (append.m_first > next) {
    return Fail(ResultCode::kConflict,
                "records before the appended ones are missing");
  }
  // A retried call contains records that were written already; skip them.
  for (uint64_t sequence = append.m_first; sequence < next && !rest.empty();
       ++sequence) {
    const Result<LedgerRecord> record = ConsumeRecord(rest);
    if (!record) {
      return tl::unexpected<Error>(record.error());
    }
  }
  if (!rest.empty()) {
    const Status written = (*segment)->Append(rest);
    if (!written) {
      return tl::unexpected<Error>(written.error());
    }
    m_used_bytes += static_cast<int64_t>(rest.size());
  }
  return (*segment)->Next();
}

Result<CopyState> CopyStore::Fence(std::string_view name,
                                   uint64_t epoch,
                                   uint64_t segment) {
  const std::shared_ptr<Ledger> ledger = Find(name, true);
  if (ledger == nullptr) {
    return Fail(ResultCode::kInvalidArgument, "the ledger id is not valid");
  }
  absl::MutexLock lock(&ledger->m_mutex);
  if (ledger->m_dropped || epoch < ledger->m_epoch) {
    return Fail(ResultCode::kFenced, "a newer writer has taken over");
  }
  const Status raised = RaiseEpoch(name, *ledger, epoch);
  if (!raised) {
    return tl::unexpected<Error>(raised.error());
  }
  const auto found = ledger->m_segments.find(segment);
  if (found == ledger->m_segments.end()) {
    return CopyState{};
  }
  const Status checked = found->second.Check();
  if (!checked) {
    return tl::unexpected<Error>(checked.error());
  }
  return MakeState(found->second);
}

Result<CopyChunk> CopyStore::Read(std::string_view name,
                                  uint64_t segment,
                                  uint64_t first,
                                  size_t max_bytes) {
  const std::shared_ptr<Ledger> ledger = Find(name, false);
  if (ledger == nullptr) {
    return Fail(ResultCode::kNotFound, "this VM has no copy of the ledger");
  }
  absl::MutexLock lock(&ledger->m_mutex);
  const auto found = ledger->m_segments.find(segment);
  if (found == ledger->m_segments.end()) {
    return Fail(ResultCode::kNotFound, "this VM has no copy of the segment");
  }
  const Status checked = found->second.Check();
  if (!checked) {
    return tl::unexpected<Error>(checked.error());
  }
  CopyChunk chunk;
  const Result<uint64_t> next =
      found->second.Read(first, max_bytes, chunk.m_bytes);
  if (!next) {
    return tl::unexpected<Error>(next.error());
  }
  if (chunk.m_bytes.empty() && found->second.IsDamaged()) {
    return Fail(ResultCode::kCorrupt, "the segment on this VM is damaged");
  }
  chunk.m_next = *next;
  return chunk;
}

CopyState CopyStore::State(std::string_view name, uint64_t segment) {
  const std::shared_ptr<Ledger> ledger = Find(name, false);
  if (ledger == nullptr) {
    return {};
  }
  absl::MutexLock lock(&ledger->m_mutex);
  const auto found = ledger->m_segments.find(segment);
  if (found == ledger->m_segments.end() || !found->second.Check()) {
    return {};
  }
  return MakeState(found->second);
}

Status CopyStore::Truncate(std::string_view name,
                           uint64_t segment,
                           uint64_t end) {
  const std::shared_ptr<Ledger> ledger = Find(name, false);
  if (ledger == nullptr) {
    return {};
  }
  absl::MutexLock lock(&ledger->m_mutex);
  const auto found = ledger->m_segments.find(segment);
  if (found == ledger->m_segments.end()) {
    return {};
  }
  std::error_code error;
  const std::string& path = found->second.Path();
  m_used_bytes -= static_cast<int64_t>(fs::file_size(path, error));
  const Status truncated = found->second.Truncate(end);
  m_used_bytes += static_cast<int64_t>(fs::file_size(path, error));
  return truncated;
}

void CopyStore::DropSegment(std::string_view name, uint64_t segment) {
  const std::shared_ptr<Ledger> ledger = Find(name, false);
  if (ledger == nullptr) {
    return;
  }
  absl::MutexLock lock(&ledger->m_mutex);
  const auto found = ledger->m_segments.find(segment);
  if (found != ledger->m_segments.end()) {
    std::error_code error;
    m_used_bytes -=
        static_cast<int64_t>(fs::file_size(found->second.Path(), error));
    fs::remove(found->second.Path(), error);
    ledger->m_segments.erase(found);
  }
}

void CopyStore::Drop(std::string_view name) {
  std::shared_ptr<Ledger> ledger = Find(name, false);
  if (ledger == nullptr) {
    return;
  }
  {
    absl::MutexLock lock(&ledger->m_mutex);
    std::error_code error;
    for (const auto& [number, segment] : ledger->m_segments) {
      m_used_bytes -=
          static_cast<int64_t>(fs::file_size(segment.Path(), error));
    }
    ledger->m_dropped = true;
    ledger->m_segments.clear();
    fs::remove_all(Folder(name), error);
  }
  absl::MutexLock lock(&m_mutex);
  m_ledgers.erase(std::string(name));
}

void CopyStore::CheckAll() {
  for (const LocalCopy& copy : List()) {
    State(copy.m_ledger, copy.m_segment);
  }
}

std::vector<LocalCopy> CopyStore::List() {
  std::map<std::string, std::shared_ptr<Ledger>, std::less<>> ledgers;
  {
    absl::MutexLock lock(&m_mutex);
    ledgers = m_ledgers;
  }
  std::vector<LocalCopy> copies;
  for (const auto& [name, ledger] : ledgers) {
    absl::MutexLock lock(&ledger->m_mutex);
    for (const auto& [number, segment] : ledger->m_segments) {
      std::error_code error;
      const fs::file_time_type changed =
          fs::last_write_time(segment.Path(), error);
      const std::chrono::milliseconds age =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              fs::file_time_type::clock::now() - changed);
      copies.push_back({name, number, WallNow() - Millis(age.count())});
    }
  }
  return copies;
}

}  // namespace bronzecross
