#include "ledger/local_segment.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <filesystem>

#include "base/log.h"
#include "ledger/file_ops.h"
#include "ledger/ledger_record.h"

namespace bronzecross {
namespace {

// An index entry is added after this many records or bytes.
constexpr uint64_t kIndexIntervalRecords = 64;
constexpr int64_t kIndexIntervalBytes = 1 << 20;
constexpr size_t kCheckBlockBytes = 1 << 20;

// Reads up to `size` bytes at `offset` and appends them to `out`.
Status ReadAt(int fd, int64_t offset, size_t size, std::string& out) {
  const size_t before = out.size();
  out.resize(before + size);
  size_t received = 0;
  while (received < size) {
    const ssize_t count =
        pread(fd, out.data() + before + received, size - received,
              offset + static_cast<int64_t>(received));
    if (count < 0) {
      return FileError("read", "a segment");
    }
    if (count == 0) {
      break;
    }
    received += static_cast<size_t>(count);
  }
  out.resize(before + received);
  return {};
}

}  // namespace

LocalSegment::LocalSegment(std::string path, uint64_t first)
    : m_path(std::move(path)), m_first(first) {}

Status LocalSegment::Create(const std::string& path) {
  const FileHandle handle(path, O_WRONLY | O_CREAT);
  if (!handle.IsOpen() || fsync(handle.Fd()) != 0) {
    return FileError("make", path);
  }
  return SyncFolder(std::filesystem::path(path).parent_path().string());
}

void LocalSegment::AddIndexEntry(uint64_t sequence, int64_t offset) {
  if (m_sparse_index.empty() ||
      sequence - m_sparse_index.back().m_sequence >= kIndexIntervalRecords ||
      offset - m_sparse_index.back().m_offset >= kIndexIntervalBytes) {
    m_sparse_index.push_back({sequence, offset});
  }
}

const LocalSegment::IndexEntry& LocalSegment::FindIndexEntry(
    uint64_t sequence) const {
  const auto after =
      std::upper_bound(m_sparse_index.begin(), m_sparse_index.end(), sequence,
                       [](uint64_t target, const IndexEntry& entry) {
                         return target < entry.m_sequence;
                       });
  assert(after != m_sparse_index.begin());
  return *(after - 1);
}

Status LocalSegment::Check() {
  if (m_checked) {
    return {};
  }
  const FileHandle handle(m_path, O_RDONLY);
  struct stat info = {};
  if (!handle.IsOpen() || fstat(handle.Fd(), &info) != 0) {
    return FileError("open", m_path);
  }
  std::string buffer;
  int64_t read_end = 0;
  while (true) {
    std::string_view rest = buffer;
    Result<LedgerRecord> record = ConsumeRecord(rest);
    if (!record && read_end < info.st_size &&
        buffer.size() < 2 * kMaxRecordBytes) {
      // The record may merely cross the end of the block.
      const size_t want = std::max(kCheckBlockBytes, buffer.size());
      const size_t before = buffer.size();
      const Status read_status = ReadAt(handle.Fd(), read_end, want, buffer);
      if (!read_status) {
        return read_status;
      }
      read_end += static_cast<int64_t>(buffer.size() - before);
      if (buffer.size() == before) {
        break;
      }
      continue;
    }
    while (record && record->m_sequence == Next()) {
      AddIndexEntry(Next(), m_bytes);
      m_bytes = read_end - static_cast<int64_t>(rest.size());
      ++m_count;
      record = ConsumeRecord(rest);
    }
    buffer.erase(0, buffer.size() - rest.size());
    const bool more = read_end < info.st_size;
    if (!more || (record && record->m_sequence != Next()) ||
        buffer.size() >= 2 * kMaxRecordBytes) {
      break;
    }
  }
  m_checked = true;
  if (m_bytes == info.st_size) {
    return {};
  }
  const bool torn = read_end == info.st_size && IsTornRecord(buffer);
  Log(torn ? Severity::kWarning : Severity::kError, LogPart::kLedger,
      torn ? "Truncated a torn record at the end of a segment."
           : "Found a damaged segment.",
      {{"file", m_path}, {"valid", Next()}, {"bytes", info.st_size - m_bytes}});
  m_damaged = !torn;
  return torn ? TruncateFile(m_bytes) : Status();
}

Status LocalSegment::TruncateFile(int64_t bytes) {
  const FileHandle handle(m_path, O_WRONLY);
  if (!handle.IsOpen() || ftruncate(handle.Fd(), bytes) != 0 ||
      fsync(handle.Fd()) != 0) {
    return FileError("cut", m_path);
  }
  return {};
}

Status LocalSegment::Append(std::string_view records) {
  std::vector<IndexEntry> entries;
  std::string_view rest = records;
  uint64_t count = 0;
  while (!rest.empty()) {
    const int64_t offset =
        m_bytes + static_cast<int64_t>(records.size() - rest.size());
    const Result<LedgerRecord> record = ConsumeRecord(rest);
    if (!record) {
      return tl::unexpected<Error>(record.error());
    }
    if (record->m_sequence != Next() + count) {
      return Fail(ResultCode::kCorrupt, "the records are not consecutive");
    }
    entries.push_back({record->m_sequence, offset});
    ++count;
  }
  const FileHandle handle(m_path, O_WRONLY);
  Status written;
  size_t done = 0;
  while (handle.IsOpen() && done < records.size()) {
    const ssize_t written_bytes =
        pwrite(handle.Fd(), records.data() + done, records.size() - done,
               m_bytes + static_cast<int64_t>(done));
    if (written_bytes <= 0) {
      break;
    }
    done += static_cast<size_t>(written_bytes);
  }
  if (done < records.size() || fdatasync(handle.Fd()) != 0) {
    written = FileError("write", m_path);
    const Status truncated = TruncateFile(m_bytes);
    if (!truncated) {
      // The bytes beyond m_bytes are overwritten by the next append.
      LogError(Severity::kError, LogPart::kLedger,
               "Cannot truncate a failed write.", truncated.error());
    }
    return written;
  }
  for (const IndexEntry& entry : entries) {
    AddIndexEntry(entry.m_sequence, entry.m_offset);
  }
  m_count += count;
  m_bytes += static_cast<int64_t>(records.size());
  return {};
}

Result<uint64_t> LocalSegment::Read(uint64_t first,
                                    size_t max_bytes,
                                    std::string& out) const {
  if (first < m_first || first > Next()) {
    return Fail(ResultCode::kNotFound, "the copy does not have the record");
  }
  if (first == Next()) {
    return first;
  }
  const IndexEntry& entry = FindIndexEntry(first);
  const FileHandle handle(m_path, O_RDONLY);
  if (!handle.IsOpen()) {
    return FileError("open", m_path);
  }
  std::string buffer;
  size_t want = max_bytes;
  // A record larger than the buffer needs a second read with a larger buffer.
  for (int attempt = 0; attempt < 2; ++attempt) {
    buffer.clear();
    const size_t size = static_cast<size_t>(std::min<int64_t>(
        m_bytes - entry.m_offset, static_cast<int64_t>(want)));
    const Status read_status =
        ReadAt(handle.Fd(), entry.m_offset, size, buffer);
    if (!read_status) {
      return tl::unexpected<Error>(read_status.error());
    }
    std::string_view rest = buffer;
    uint64_t sequence = entry.m_sequence;
    size_t begin = 0;
    while (sequence < Next()) {
      const Result<LedgerRecord> record = ConsumeRecord(rest);
      if (!record) {
        break;
      }
      if (record->m_sequence != sequence) {
        return Fail(ResultCode::kCorrupt, "the segment's records are damaged");
      }
      ++sequence;
      if (sequence == first) {
        begin = buffer.size() - rest.size();
      }
    }
    if (sequence > first) {
      out.append(buffer, begin, buffer.size() - rest.size() - begin);
      return sequence;
    }
    if (buffer.size() < want) {
      break;  // the file was read to its end
    }
    // Index entries are at most kIndexIntervalBytes and one record apart.
    want = static_cast<size_t>(kIndexIntervalBytes) + 3 * kMaxRecordBytes;
  }
  return Fail(ResultCode::kCorrupt, "a record of the segment is damaged");
}

Status LocalSegment::Truncate(uint64_t end) {
  int64_t bytes = m_bytes;
  if (end < Next()) {
    const IndexEntry entry = FindIndexEntry(end);
    bytes = entry.m_offset;
    std::string skipped;
    for (uint64_t sequence = entry.m_sequence; sequence < end;) {
      skipped.clear();
      const Result<uint64_t> next = Read(sequence, kMaxRecordBytes, skipped);
      if (!next) {
        return tl::unexpected<Error>(next.error());
      }
      std::string_view rest = skipped;
      for (; sequence < end && !rest.empty(); ++sequence) {
        const size_t before = rest.size();
        const Result<LedgerRecord> record = ConsumeRecord(rest);
        if (!record) {
          return tl::unexpected<Error>(record.error());
        }
        bytes += static_cast<int64_t>(before - rest.size());
      }
    }
  }
  const Status truncated = TruncateFile(bytes);
  if (!truncated) {
    return truncated;
  }
  if (end < Next()) {
    m_count = end - m_first;
    std::erase_if(m_sparse_index, [end](const IndexEntry& entry) {
      return entry.m_sequence >= end;
    });
  }
  m_bytes = bytes;
  m_damaged = false;
  return {};
}

}  // namespace bronzecross
