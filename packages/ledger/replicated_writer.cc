#include "ledger/replicated_writer.h"

#include <algorithm>
#include <cassert>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/time/time.h>

#include "base/log.h"
#include "base/metrics.h"
#include "ledger/copy_rules.h"

namespace bronzecross {
namespace {

constexpr size_t kChunkBytes = 1 << 20;
constexpr size_t kBatchBytes = 4 << 20;
// Appends wait while so much is not yet on all copies.
constexpr size_t kMaxBuffered = 16 << 20;
constexpr Millis kRollInterval{1000};
constexpr Millis kAvoidFor{10'000};
constexpr Millis kRetryUnknown{200};
constexpr int kPrepareTries = 3;

}  // namespace

Result<LedgerSegment> PrepareSegment(const LedgerParts& parts,
                                     std::string_view id,
                                     uint64_t epoch,
                                     uint64_t number,
                                     uint64_t first,
                                     std::vector<std::string>& exclude) {
  Error last{ResultCode::kTooFewCopies,
             "fewer than two data VMs can be reached"};
  for (int i = 0; i < kPrepareTries; ++i) {
    LedgerSegment segment;
    segment.m_number = number;
    segment.m_first = first;
    segment.m_epoch = epoch;
    segment.m_copies = ChooseCopies(absl::StrCat(std::string(id), "/", number),
                                    parts.m_membership.Self().m_id,
                                    parts.m_membership.Live(), exclude);
    if (segment.m_copies.size() < 2) {
      break;
    }
    bool made = true;
    for (const std::string& vm : segment.m_copies) {
      const Result<uint64_t> next =
          parts.m_peers.Append(vm, {id, number, first, epoch, first, ""});
      if (!next && next.error().m_code == ResultCode::kFenced) {
        return tl::unexpected<Error>(next.error());
      }
      if (!next || *next != first) {
        exclude.push_back(vm);
        if (!next && next.error().m_code == ResultCode::kDiskFull) {
          last = next.error();
        }
        made = false;
      }
    }
    if (made) {
      Log(Severity::kInfo, LogPart::kLedger, "Placed a segment.",
          {{"ledger", id},
           {"segment", number},
           {"first", first},
           {"epoch", epoch},
           {"copies", absl::StrJoin(segment.m_copies, ",")}});
      return segment;
    }
  }
  last.m_retry_after = kRollInterval;
  return tl::unexpected<Error>(std::move(last));
}

ReplicatedWriter::ReplicatedWriter(LedgerParts parts,
                                   std::string id,
                                   LedgerIndex index,
                                   std::function<void()> on_destroy)
    : m_parts(parts),
      m_id(std::move(id)),
      m_own(parts.m_membership.Self().m_id),
      m_epoch(index.m_epoch),
      m_on_destroy(std::move(on_destroy)),
      m_index(std::move(index)) {
  {
    absl::MutexLock lock(&m_mutex);
    const LedgerSegment& segment = m_index.m_segments.back();
    assert(segment.m_end == kOpenSegment);
    m_next = segment.m_first;
    m_acknowledged = m_next;
    for (const std::string& vm : segment.m_copies) {
      m_copies.push_back({vm, m_next, std::nullopt});
    }
  }
  for (size_t slot = 0; slot < kLedgerCopies; ++slot) {
    m_threads.emplace_back([this, slot] { RunCopy(slot); });
  }
}

ReplicatedWriter::~ReplicatedWriter() {
  m_on_destroy();
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

uint64_t ReplicatedWriter::NextSequence() const {
  absl::MutexLock lock(&m_mutex);
  return m_next;
}

LedgerIndex ReplicatedWriter::Snapshot() const {
  absl::MutexLock lock(&m_mutex);
  LedgerIndex index = m_index;
  if (index.m_segments.back().m_end == kOpenSegment) {
    index.m_segments.back().m_end = static_cast<int64_t>(m_acknowledged);
  }
  return index;
}

Result<uint64_t> ReplicatedWriter::Append(
    std::span<const std::string> payloads) {
  for (const std::string& payload : payloads) {
    if (payload.size() > kMaxRecordBytes) {
      return Fail(ResultCode::kBodyTooLarge, "a ledger record is too large");
    }
  }
  const Millis deadline = MonotonicNow() + m_parts.m_options.m_append_timeout;
  absl::MutexLock lock(&m_mutex);
  const auto room = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) {
    return m_broken || m_buffered < kMaxBuffered;
  };
  m_mutex.AwaitWithTimeout(
      absl::Condition(&room),
      absl::Milliseconds(m_parts.m_options.m_append_timeout.count()));
  if (m_broken) {
    return tl::unexpected<Error>(*m_broken);
  }
  const uint64_t first = m_next;
  Chunk chunk;
  chunk.m_first = first;
  const auto flush = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    if (m_next > chunk.m_first) {
      chunk.m_end = m_next;
      m_buffered += chunk.m_bytes.size();
      m_chunks.push_back(std::move(chunk));
      chunk = Chunk{};
      chunk.m_first = m_next;
    }
  };
  for (const std::string& payload : payloads) {
    AppendRecord(chunk.m_bytes, {m_next, m_epoch, payload});
    ++m_next;
    if (chunk.m_bytes.size() >= kChunkBytes) {
      flush();
    }
  }
  flush();
  const uint64_t end = m_next;
  const auto done = [this, end]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) {
    return m_broken || m_acknowledged >= end;
  };
  const Millis left = deadline - MonotonicNow();
  m_mutex.AwaitWithTimeout(
      absl::Condition(&done),
      absl::Milliseconds(std::max<int64_t>(left.count(), 0)));
  if (m_acknowledged >= end) {
    return first;
  }
  if (!m_broken) {
    Break(Hindrance());
  }
  return tl::unexpected<Error>(*m_broken);
}

Error ReplicatedWriter::Hindrance() const {
  for (const Copy& copy : m_copies) {
    if (copy.m_failure && copy.m_failure->m_code == ResultCode::kDiskFull) {
      return *copy.m_failure;
    }
  }
  return Error{ResultCode::kTooFewCopies,
               "not enough copies acknowledge in time"};
}

void ReplicatedWriter::Break(Error error) {
  if (!m_broken) {
    LogError(Severity::kWarning, LogPart::kLedger,
             absl::StrCat("Stopped writing ledger ", m_id, "."), error);
    m_broken = std::move(error);
  }
}

bool ReplicatedWriter::HasWork(size_t slot) const {
  return slot < m_copies.size() && !m_rolling && !m_copies[slot].m_failure &&
         m_copies[slot].m_held < m_next;
}

ReplicatedWriter::Batch ReplicatedWriter::TakeBatch(size_t slot) const {
  const LedgerSegment& segment = m_index.m_segments.back();
  Batch batch{m_copies[slot].m_vm,   m_round, segment.m_number, segment.m_first,
              m_copies[slot].m_held, ""};
  for (const Chunk& chunk : m_chunks) {
    if (chunk.m_end <= batch.m_first) {
      continue;
    }
    if (!batch.m_bytes.empty() &&
        batch.m_bytes.size() + chunk.m_bytes.size() > kBatchBytes) {
      break;
    }
    assert(!batch.m_bytes.empty() || chunk.m_first == batch.m_first);
    batch.m_bytes += chunk.m_bytes;
  }
  return batch;
}

void ReplicatedWriter::RunCopy(size_t slot) {
  while (true) {
    Batch batch;
    bool roll = false;
    {
      absl::MutexLock lock(&m_mutex);
      const auto ready = [this, slot]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) {
        return m_stopping || m_broken || HasWork(slot);
      };
      m_mutex.AwaitWithTimeout(absl::Condition(&ready),
                               absl::Milliseconds(kRollInterval.count()));
      if (m_stopping || m_broken) {
        return;
      }
      roll = IsRollDue();
      if (!roll && !HasWork(slot)) {
        continue;
      }
      if (!roll) {
        batch = TakeBatch(slot);
      }
    }
    if (roll) {
      Roll();
      continue;
    }
    const Result<uint64_t> held = m_parts.m_peers.Append(
        batch.m_vm, {m_id, batch.m_segment, batch.m_segment_first, m_epoch,
                     batch.m_first, batch.m_bytes});
    FinishBatch(slot, batch, held);
  }
}

void ReplicatedWriter::FinishBatch(size_t slot,
                                   const Batch& batch,
                                   const Result<uint64_t>& held) {
  absl::MutexLock lock(&m_mutex);
  if (!held && held.error().m_code == ResultCode::kFenced) {
    Break(held.error());
    return;
  }
  if (batch.m_round != m_round) {
    return;
  }
  Copy& copy = m_copies[slot];
  if (held) {
    // The copy may hold more than was sent to it by a call whose answer was
    // lost, but never more than this writer has.
    copy.m_held = std::max(copy.m_held, std::min(*held, m_next));
    Advance();
    return;
  }
  LogError(Severity::kWarning, LogPart::kLedger,
           absl::StrCat("Lost the copy of ", m_id, " on ", copy.m_vm, "."),
           held.error());
  CountMetric("bronzecross_ledger_copy_failures_total");
  copy.m_failure = held.error();
  m_avoid[copy.m_vm] = MonotonicNow() + kAvoidFor;
  m_next_roll = Millis(0);
}

std::vector<std::string> ReplicatedWriter::CopyIds() const {
  std::vector<std::string> ids;
  for (const Copy& copy : m_copies) {
    ids.push_back(copy.m_vm);
  }
  return ids;
}

void ReplicatedWriter::Advance() {
  if (m_rolling) {
    return;
  }
  std::vector<uint64_t> held;
  uint64_t needed_from = m_next;
  for (const Copy& copy : m_copies) {
    held.push_back(copy.m_held);
    if (!copy.m_failure) {
      needed_from = std::min(needed_from, copy.m_held);
    }
  }
  m_acknowledged =
      std::max(m_acknowledged, AcknowledgedEnd(CopyIds(), held, m_own));
  needed_from = std::min(needed_from, m_acknowledged);
  while (!m_chunks.empty() && m_chunks.front().m_end <= needed_from) {
    m_buffered -= m_chunks.front().m_bytes.size();
    m_chunks.pop_front();
  }
}

bool ReplicatedWriter::IsRollDue() const {
  if (m_rolling || MonotonicNow() < m_next_roll) {
    return false;
  }
  return m_copies.size() < kLedgerCopies ||
         std::any_of(m_copies.begin(), m_copies.end(), [](const Copy& copy) {
           return copy.m_failure.has_value();
         });
}

void ReplicatedWriter::Roll() {
  std::vector<std::string> exclude;
  std::vector<std::string> working;
  bool can_go_on = false;
  uint64_t end = 0;
  uint64_t number = 0;
  {
    absl::MutexLock lock(&m_mutex);
    if (!IsRollDue() || m_stopping || m_broken) {
      return;
    }
    m_next_roll = MonotonicNow() + kRollInterval;
    for (const auto& [vm, until] : m_avoid) {
      if (MonotonicNow() < until) {
        exclude.push_back(vm);
      }
    }
    for (const Copy& copy : m_copies) {
      if (!copy.m_failure) {
        working.push_back(copy.m_vm);
      }
    }
    can_go_on = CanAcknowledge(CopyIds(), working, m_own);
    const size_t found =
        ChooseCopies(m_id, m_own, m_parts.m_membership.Live(), exclude).size();
    // A new segment must be better than the present one.
    if (found < 2 || (can_go_on && found < kLedgerCopies)) {
      if (!can_go_on && Hindrance().m_code == ResultCode::kDiskFull) {
        Break(Hindrance());
      }
      return;
    }
    m_rolling = true;
    end = m_acknowledged;
    number = m_index.m_segments.back().m_number + 1;
  }
  const Result<LedgerSegment> fresh =
      PrepareSegment(m_parts, m_id, m_epoch, number, end, exclude);
  if (!fresh || (can_go_on && fresh->m_copies.size() < kLedgerCopies)) {
    FinishRoll(fresh || can_go_on
                   ? Fail(ResultCode::kTooFewCopies, "no better copies")
                   : tl::unexpected<Error>(fresh.error()));
    return;
  }
  FinishRoll(SaveIndex([&](LedgerIndex& index) {
    if (index.m_segments.back().m_number == fresh->m_number) {
      return;
    }
    index.m_segments.back().m_end = static_cast<int64_t>(end);
    if (index.m_segments.back().m_first == end) {
      index.m_segments.pop_back();
    }
    index.m_segments.push_back(*fresh);
  }));
}

void ReplicatedWriter::FinishRoll(Result<LedgerIndex> index) {
  absl::MutexLock lock(&m_mutex);
  m_rolling = false;
  if (!index) {
    const ResultCode code = index.error().m_code;
    if (code == ResultCode::kFenced || code == ResultCode::kDiskFull) {
      Break(index.error());
      return;
    }
    LogError(Severity::kWarning, LogPart::kLedger,
             absl::StrCat("Cannot move ledger ", m_id, " to other copies."),
             index.error());
    Advance();
    return;
  }
  m_index = std::move(*index);
  ++m_round;
  m_copies.clear();
  for (const std::string& vm : m_index.m_segments.back().m_copies) {
    m_copies.push_back({vm, m_acknowledged, std::nullopt});
  }
  assert(m_index.m_segments.back().m_first == m_acknowledged);
}

Result<LedgerIndex> ReplicatedWriter::SaveIndex(
    const std::function<void(LedgerIndex&)>& change) {
  bool unknown = false;
  while (true) {
    const Result<LedgerIndex> saved =
        m_parts.m_indexes.Update(m_id, [&](LedgerIndex& index) -> Status {
          if (index.m_epoch != m_epoch) {
            return Fail(ResultCode::kFenced, "a newer writer has taken over");
          }
          change(index);
          return {};
        });
    if (saved) {
      return saved;
    }
    if (saved.error().m_code == ResultCode::kNotFound) {
      return Fail(ResultCode::kFenced, "the ledger was removed");
    }
    unknown = unknown || saved.error().m_run == RunState::kUnknown;
    if (!unknown || saved.error().m_code == ResultCode::kFenced) {
      return saved;
    }
    absl::MutexLock lock(&m_mutex);
    if (m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping),
                                 absl::Milliseconds(kRetryUnknown.count()))) {
      return Fail(ResultCode::kFenced, "the writer was stopped");
    }
  }
}

Status ReplicatedWriter::Seal() {
  uint64_t end = 0;
  {
    absl::MutexLock lock(&m_mutex);
    const auto settled = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) {
      return m_broken || (!m_rolling && m_acknowledged == m_next);
    };
    m_mutex.AwaitWithTimeout(
        absl::Condition(&settled),
        absl::Milliseconds(m_parts.m_options.m_append_timeout.count()));
    if (m_broken) {
      return tl::unexpected<Error>(*m_broken);
    }
    if (!settled()) {
      return Fail(ResultCode::kTooFewCopies, "appends are still open");
    }
    m_rolling = true;
    end = m_acknowledged;
  }
  const Result<LedgerIndex> sealed = SaveIndex([end](LedgerIndex& index) {
    index.m_segments.back().m_end = static_cast<int64_t>(end);
    index.m_sealed = true;
  });
  absl::MutexLock lock(&m_mutex);
  m_rolling = false;
  if (!sealed) {
    return tl::unexpected<Error>(sealed.error());
  }
  m_index = *sealed;
  m_broken = Error{ResultCode::kConflict, "the ledger is sealed"};
  return {};
}

}  // namespace bronzecross
