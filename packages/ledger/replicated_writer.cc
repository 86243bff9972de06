#include "ledger/replicated_writer.h"

#include <algorithm>
#include <cassert>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/time/time.h>

#include "base/log.h"
#include "base/metrics.h"
#include "ledger/replication_rules.h"

namespace bronzecross {
namespace {

constexpr size_t kChunkBytes = 1 << 20;
constexpr size_t kBatchBytes = 4 << 20;
// Appends block while this much data is not yet on all working copies.
constexpr size_t kMaxBufferedBytes = 16 << 20;
// Interval between attempts to roll to a new segment. A failed append to a copy
// triggers one at once.
constexpr Millis kRollInterval{1000};
// How long a VM is excluded from new segments after a failure.
constexpr Millis kExclusionTime{10'000};
constexpr Millis kUnknownOutcomeRetryInterval{200};
constexpr int kPrepareAttempts = 3;

}  // namespace

Result<LedgerSegment> PrepareSegment(const LedgerDependencies& dependencies,
                                     std::string_view id,
                                     uint64_t epoch,
                                     uint64_t number,
                                     uint64_t first,
                                     std::vector<std::string>& exclude) {
  Error last{ResultCode::kTooFewCopies,
             "fewer than two data VMs are reachable"};
  for (int i = 0; i < kPrepareAttempts; ++i) {
    LedgerSegment segment;
    segment.m_number = number;
    segment.m_first = first;
    segment.m_epoch = epoch;
    segment.m_copies = ChooseCopies(absl::StrCat(std::string(id), "/", number),
                                    dependencies.m_membership.Self().m_id,
                                    dependencies.m_membership.Live(), exclude);
    if (segment.m_copies.size() < 2) {
      break;
    }
    bool created = true;
    for (const std::string& vm : segment.m_copies) {
      const Result<uint64_t> next = dependencies.m_copy_client.Append(
          vm, {id, number, first, epoch, first, ""});
      if (!next && next.error().m_code == ResultCode::kFenced) {
        return tl::unexpected<Error>(next.error());
      }
      if (!next || *next != first) {
        exclude.push_back(vm);
        if (!next && next.error().m_code == ResultCode::kDiskFull) {
          last = next.error();
        }
        created = false;
      }
    }
    if (created) {
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

ReplicatedWriter::ReplicatedWriter(LedgerDependencies dependencies,
                                   std::string id,
                                   LedgerMetadata metadata,
                                   std::function<void()> on_destroy)
    : m_dependencies(dependencies),
      m_id(std::move(id)),
      m_own_id(dependencies.m_membership.Self().m_id),
      m_epoch(metadata.m_epoch),
      m_on_destroy(std::move(on_destroy)),
      m_metadata(std::move(metadata)) {
  {
    absl::MutexLock lock(&m_mutex);
    const LedgerSegment& segment = m_metadata.m_segments.back();
    assert(segment.m_end == kOpenSegment);
    m_next = segment.m_first;
    m_acknowledged = m_next;
    for (const std::string& vm : segment.m_copies) {
      m_copies.push_back({vm, m_next, std::nullopt});
    }
  }
  for (size_t slot = 0; slot < kLedgerCopies; ++slot) {
    m_threads.emplace_back([this, slot] { ReplicateToCopy(slot); });
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

LedgerMetadata ReplicatedWriter::Snapshot() const {
  absl::MutexLock lock(&m_mutex);
  LedgerMetadata metadata = m_metadata;
  if (metadata.m_segments.back().m_end == kOpenSegment) {
    metadata.m_segments.back().m_end = static_cast<int64_t>(m_acknowledged);
  }
  return metadata;
}

Result<uint64_t> ReplicatedWriter::Append(
    std::span<const std::string> payloads) {
  for (const std::string& payload : payloads) {
    if (payload.size() > kMaxRecordBytes) {
      return Fail(ResultCode::kBodyTooLarge, "a ledger record is too large");
    }
  }
  const Millis deadline =
      MonotonicNow() + m_dependencies.m_options.m_append_timeout;
  absl::MutexLock lock(&m_mutex);
  const auto has_capacity = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) {
    return m_stop_error || m_buffered_bytes < kMaxBufferedBytes;
  };
  m_mutex.AwaitWithTimeout(
      absl::Condition(&has_capacity),
      absl::Milliseconds(m_dependencies.m_options.m_append_timeout.count()));
  if (m_stop_error) {
    return tl::unexpected<Error>(*m_stop_error);
  }
  const uint64_t first = m_next;
  Chunk chunk;
  chunk.m_first = first;
  const auto flush = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    if (m_next > chunk.m_first) {
      chunk.m_end = m_next;
      m_buffered_bytes += chunk.m_bytes.size();
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
    return m_stop_error || m_acknowledged >= end;
  };
  const Millis left = deadline - MonotonicNow();
  m_mutex.AwaitWithTimeout(
      absl::Condition(&done),
      absl::Milliseconds(std::max<int64_t>(left.count(), 0)));
  if (m_acknowledged >= end) {
    return first;
  }
  if (!m_stop_error) {
    StopWriting(FailureCause());
  }
  return tl::unexpected<Error>(*m_stop_error);
}

Error ReplicatedWriter::FailureCause() const {
  for (const Copy& copy : m_copies) {
    if (copy.m_failure && copy.m_failure->m_code == ResultCode::kDiskFull) {
      return *copy.m_failure;
    }
  }
  return Error{ResultCode::kTooFewCopies,
               "not enough copies acknowledged the append in time"};
}

void ReplicatedWriter::StopWriting(Error error) {
  if (!m_stop_error) {
    LogError(Severity::kWarning, LogPart::kLedger,
             absl::StrCat("Stopped writing ledger ", m_id, "."), error);
    m_stop_error = std::move(error);
  }
}

bool ReplicatedWriter::HasPendingRecords(size_t slot) const {
  return slot < m_copies.size() && !m_rolling && !m_copies[slot].m_failure &&
         m_copies[slot].m_durable_end < m_next;
}

ReplicatedWriter::Batch ReplicatedWriter::NextBatch(size_t slot) const {
  const LedgerSegment& segment = m_metadata.m_segments.back();
  Batch batch{
      m_copies[slot].m_vm, m_placement_version,          segment.m_number,
      segment.m_first,     m_copies[slot].m_durable_end, ""};
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

void ReplicatedWriter::ReplicateToCopy(size_t slot) {
  while (true) {
    Batch batch;
    bool roll = false;
    {
      absl::MutexLock lock(&m_mutex);
      const auto ready = [this, slot]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) {
        return m_stopping || m_stop_error || HasPendingRecords(slot);
      };
      m_mutex.AwaitWithTimeout(absl::Condition(&ready),
                               absl::Milliseconds(kRollInterval.count()));
      if (m_stopping || m_stop_error) {
        return;
      }
      roll = IsRollDue();
      if (!roll && !HasPendingRecords(slot)) {
        continue;
      }
      if (!roll) {
        batch = NextBatch(slot);
      }
    }
    if (roll) {
      Roll();
      continue;
    }
    const Result<uint64_t> durable_end = m_dependencies.m_copy_client.Append(
        batch.m_vm, {m_id, batch.m_segment, batch.m_segment_first, m_epoch,
                     batch.m_first, batch.m_bytes});
    FinishBatch(slot, batch, durable_end);
  }
}

void ReplicatedWriter::FinishBatch(size_t slot,
                                   const Batch& batch,
                                   const Result<uint64_t>& durable_end) {
  absl::MutexLock lock(&m_mutex);
  if (!durable_end && durable_end.error().m_code == ResultCode::kFenced) {
    StopWriting(durable_end.error());
    return;
  }
  if (batch.m_placement_version != m_placement_version) {
    return;
  }
  Copy& copy = m_copies[slot];
  if (durable_end) {
    // The copy may have more records than this batch if the reply to an earlier
    // call was lost, but never more than this writer has appended.
    copy.m_durable_end =
        std::max(copy.m_durable_end, std::min(*durable_end, m_next));
    AdvanceAcknowledged();
    return;
  }
  LogError(Severity::kWarning, LogPart::kLedger,
           absl::StrCat("Cannot append to the copy of ledger ", m_id, " on ",
                        copy.m_vm, "."),
           durable_end.error());
  CountMetric("bronzecross_ledger_copy_failures_total");
  copy.m_failure = durable_end.error();
  m_excluded_until[copy.m_vm] = MonotonicNow() + kExclusionTime;
  m_next_roll = Millis(0);
}

std::vector<std::string> ReplicatedWriter::CopyIds() const {
  std::vector<std::string> ids;
  for (const Copy& copy : m_copies) {
    ids.push_back(copy.m_vm);
  }
  return ids;
}

void ReplicatedWriter::AdvanceAcknowledged() {
  if (m_rolling) {
    return;
  }
  std::vector<uint64_t> durable_ends;
  uint64_t retained_from = m_next;
  for (const Copy& copy : m_copies) {
    durable_ends.push_back(copy.m_durable_end);
    if (!copy.m_failure) {
      retained_from = std::min(retained_from, copy.m_durable_end);
    }
  }
  m_acknowledged = std::max(m_acknowledged,
                            AcknowledgedEnd(CopyIds(), durable_ends, m_own_id));
  retained_from = std::min(retained_from, m_acknowledged);
  while (!m_chunks.empty() && m_chunks.front().m_end <= retained_from) {
    m_buffered_bytes -= m_chunks.front().m_bytes.size();
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
  bool can_acknowledge = false;
  uint64_t end = 0;
  uint64_t number = 0;
  {
    absl::MutexLock lock(&m_mutex);
    if (!IsRollDue() || m_stopping || m_stop_error) {
      return;
    }
    m_next_roll = MonotonicNow() + kRollInterval;
    for (const auto& [vm, until] : m_excluded_until) {
      if (MonotonicNow() < until) {
        exclude.push_back(vm);
      }
    }
    for (const Copy& copy : m_copies) {
      if (!copy.m_failure) {
        working.push_back(copy.m_vm);
      }
    }
    can_acknowledge = CanAcknowledge(CopyIds(), working, m_own_id);
    const size_t candidate_count =
        ChooseCopies(m_id, m_own_id, m_dependencies.m_membership.Live(),
                     exclude)
            .size();
    // Roll only if the new segment has more working copies.
    if (candidate_count < 2 ||
        (can_acknowledge && candidate_count < kLedgerCopies)) {
      if (!can_acknowledge && FailureCause().m_code == ResultCode::kDiskFull) {
        StopWriting(FailureCause());
      }
      return;
    }
    m_rolling = true;
    end = m_acknowledged;
    number = m_metadata.m_segments.back().m_number + 1;
  }
  const Result<LedgerSegment> next_segment =
      PrepareSegment(m_dependencies, m_id, m_epoch, number, end, exclude);
  if (!next_segment ||
      (can_acknowledge && next_segment->m_copies.size() < kLedgerCopies)) {
    FinishRoll(next_segment || can_acknowledge
                   ? Fail(ResultCode::kTooFewCopies,
                          "no better set of copies is available")
                   : tl::unexpected<Error>(next_segment.error()));
    return;
  }
  FinishRoll(SaveMetadata([&](LedgerMetadata& metadata) {
    if (metadata.m_segments.back().m_number == next_segment->m_number) {
      return;
    }
    metadata.m_segments.back().m_end = static_cast<int64_t>(end);
    if (metadata.m_segments.back().m_first == end) {
      metadata.m_segments.pop_back();
    }
    metadata.m_segments.push_back(*next_segment);
  }));
}

void ReplicatedWriter::FinishRoll(Result<LedgerMetadata> metadata) {
  absl::MutexLock lock(&m_mutex);
  m_rolling = false;
  if (!metadata) {
    const ResultCode code = metadata.error().m_code;
    if (code == ResultCode::kFenced || code == ResultCode::kDiskFull) {
      StopWriting(metadata.error());
      return;
    }
    LogError(Severity::kWarning, LogPart::kLedger,
             absl::StrCat("Cannot move ledger ", m_id, " to other copies."),
             metadata.error());
    AdvanceAcknowledged();
    return;
  }
  m_metadata = std::move(*metadata);
  ++m_placement_version;
  m_copies.clear();
  for (const std::string& vm : m_metadata.m_segments.back().m_copies) {
    m_copies.push_back({vm, m_acknowledged, std::nullopt});
  }
  assert(m_metadata.m_segments.back().m_first == m_acknowledged);
}

Result<LedgerMetadata> ReplicatedWriter::SaveMetadata(
    const std::function<void(LedgerMetadata&)>& change) {
  bool unknown = false;
  while (true) {
    const Result<LedgerMetadata> saved = m_dependencies.m_metadata_store.Update(
        m_id, [&](LedgerMetadata& metadata) -> Status {
          if (metadata.m_epoch != m_epoch) {
            return Fail(ResultCode::kFenced, "a newer writer has taken over");
          }
          change(metadata);
          return {};
        });
    if (saved) {
      return saved;
    }
    if (saved.error().m_code == ResultCode::kNotFound) {
      return Fail(ResultCode::kFenced, "the ledger was deleted");
    }
    unknown = unknown || saved.error().m_run == RunState::kUnknown;
    if (!unknown || saved.error().m_code == ResultCode::kFenced) {
      return saved;
    }
    absl::MutexLock lock(&m_mutex);
    if (m_mutex.AwaitWithTimeout(
            absl::Condition(&m_stopping),
            absl::Milliseconds(kUnknownOutcomeRetryInterval.count()))) {
      return Fail(ResultCode::kFenced, "the writer was stopped");
    }
  }
}

Status ReplicatedWriter::Seal() {
  uint64_t end = 0;
  {
    absl::MutexLock lock(&m_mutex);
    const auto no_pending_appends =
        [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) {
          return m_stop_error || (!m_rolling && m_acknowledged == m_next);
        };
    m_mutex.AwaitWithTimeout(
        absl::Condition(&no_pending_appends),
        absl::Milliseconds(m_dependencies.m_options.m_append_timeout.count()));
    if (m_stop_error) {
      return tl::unexpected<Error>(*m_stop_error);
    }
    if (!no_pending_appends()) {
      return Fail(ResultCode::kTooFewCopies, "appends are still pending");
    }
    m_rolling = true;
    end = m_acknowledged;
  }
  const Result<LedgerMetadata> sealed =
      SaveMetadata([end](LedgerMetadata& metadata) {
        metadata.m_segments.back().m_end = static_cast<int64_t>(end);
        metadata.m_sealed = true;
      });
  absl::MutexLock lock(&m_mutex);
  m_rolling = false;
  if (!sealed) {
    return tl::unexpected<Error>(sealed.error());
  }
  m_metadata = *sealed;
  m_stop_error = Error{ResultCode::kConflict, "the ledger is sealed"};
  return {};
}

}  // namespace bronzecross
