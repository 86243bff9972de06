#include "ledger/ledger_repair.h"

#include <algorithm>
#include <optional>
#include <set>

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include "base/log.h"
#include "base/metrics.h"
#include "ledger/replication_rules.h"
#include "membership/rendezvous.h"

namespace bronzecross {
namespace {

constexpr size_t kFetchBytes = 1 << 20;
// Younger files are kept, as they may belong to a segment whose metadata is
// about to be written.
constexpr Millis kMinUnreferencedAge{600'000};

// Returns the prefix of `bytes`, whose records start at sequence number
// `first`, with the records before `end`.
std::string_view TrimRecords(std::string_view bytes,
                             uint64_t first,
                             uint64_t end) {
  std::string_view rest = bytes;
  for (uint64_t sequence = first; sequence < end && !rest.empty(); ++sequence) {
    if (!ConsumeRecord(rest)) {
      break;
    }
  }
  return bytes.substr(0, bytes.size() - rest.size());
}

bool Contains(const std::vector<std::string>& ids, const std::string& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

LedgerRepair::LedgerRepair(LedgerDependencies dependencies, CopyStore& copies)
    : m_dependencies(dependencies),
      m_copies(copies),
      m_own_id(dependencies.m_membership.Self().m_id),
      m_start_time(MonotonicNow()) {}

LedgerRepair::~LedgerRepair() {
  Stop();
}

void LedgerRepair::Start() {
  m_thread = std::thread([this] { Run(); });
}

void LedgerRepair::Stop() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

bool LedgerRepair::WaitForStop(Millis duration) {
  absl::MutexLock lock(&m_mutex);
  return m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping),
                                  absl::Milliseconds(duration.count()));
}

void LedgerRepair::Run() {
  m_copies.CheckAll();
  do {
    Scan();
    SetGauge("bronzecross_ledger_data_bytes", {},
             static_cast<double>(m_copies.UsedBytes()));
  } while (!WaitForStop(m_dependencies.m_options.m_repair_interval));
}

void LedgerRepair::Scan() {
  for (const Member& member : m_dependencies.m_membership.Live()) {
    m_last_seen_live[member.m_id] = MonotonicNow();
  }
  const Result<Ledgers> ledgers = m_dependencies.m_metadata_store.List();
  if (!ledgers) {
    return;
  }
  for (const auto& [id, metadata] : *ledgers) {
    for (const LedgerSegment& segment : metadata.m_segments) {
      if (segment.m_end == kOpenSegment || WaitForStop(Millis(0))) {
        continue;
      }
      if (Contains(segment.m_copies, m_own_id)) {
        RestoreOwnCopy(id, segment);
        continue;
      }
      const std::optional<std::string> lost = FindCopyToReplace(id, segment);
      if (lost) {
        ReplaceCopy(id, segment, *lost);
      }
    }
  }
  RemoveUnreferencedCopies(*ledgers);
}

std::optional<std::string> LedgerRepair::FindCopyToReplace(
    const std::string& id,
    const LedgerSegment& segment) {
  // All VMs rank the candidates in the same order, so that usually only one of
  // them replaces the copy. If two do, the compare-and-swap of the metadata
  // lets one succeed.
  const std::vector<std::string> chosen =
      ChooseCopies(absl::StrCat(id, "/", segment.m_number), "",
                   m_dependencies.m_membership.Live(), segment.m_copies);
  if (chosen.empty() || chosen.front() != m_own_id) {
    return std::nullopt;
  }
  for (const std::string& vm : segment.m_copies) {
    const auto seen = m_last_seen_live.find(vm);
    const Millis since =
        seen != m_last_seen_live.end() ? seen->second : m_start_time;
    if (MonotonicNow() - since > m_dependencies.m_options.m_repair_after) {
      return vm;
    }
  }
  return segment.m_copies.size() < kLedgerCopies
             ? std::optional<std::string>("")
             : std::nullopt;
}

void LedgerRepair::RestoreOwnCopy(const std::string& id,
                                  const LedgerSegment& segment) {
  const uint64_t end = static_cast<uint64_t>(segment.m_end);
  const CopyState state = m_copies.State(id, segment.m_number);
  Status restored;
  if (state.m_present && !state.m_damaged && state.m_next >= end) {
    if (state.m_next == end) {
      return;
    }
    // The records beyond `end` were never acknowledged.
    restored = m_copies.Truncate(id, segment.m_number, end);
  } else {
    restored = FetchSegment(id, segment);
    Log(Severity::kInfo, LogPart::kLedger,
        restored ? "Restored this VM's copy of a segment."
                 : "Cannot restore this VM's copy of a segment yet.",
        {{"ledger", id}, {"segment", segment.m_number}});
  }
  if (!restored) {
    LogError(Severity::kWarning, LogPart::kLedger, "Cannot restore a copy.",
             restored.error());
  }
}

void LedgerRepair::ReplaceCopy(const std::string& id,
                               const LedgerSegment& segment,
                               const std::string& lost) {
  const Status fetched = FetchSegment(id, segment);
  if (!fetched) {
    LogError(Severity::kWarning, LogPart::kLedger,
             "Cannot fetch a replacement for a lost copy.", fetched.error());
    return;
  }
  const Result<LedgerMetadata> saved = m_dependencies.m_metadata_store.Update(
      id, [&](LedgerMetadata& metadata) -> Status {
        for (LedgerSegment& current : metadata.m_segments) {
          if (current.m_number != segment.m_number ||
              Contains(current.m_copies, m_own_id)) {
            continue;
          }
          const auto place =
              std::find(current.m_copies.begin(), current.m_copies.end(), lost);
          if (place != current.m_copies.end()) {
            *place = m_own_id;
          } else if (current.m_copies.size() < kLedgerCopies) {
            current.m_copies.push_back(m_own_id);
          } else {
            return Fail(ResultCode::kConflict,
                        "the copy has already been replaced");
          }
        }
        return {};
      });
  if (!saved) {
    LogError(Severity::kWarning, LogPart::kLedger,
             "Cannot save the replacement of a copy.", saved.error());
    return;
  }
  CountMetric("bronzecross_ledger_copies_replaced_total");
  Log(Severity::kInfo, LogPart::kLedger, "Replaced a lost copy.",
      {{"ledger", id}, {"segment", segment.m_number}, {"lost", lost}});
}

Status LedgerRepair::FetchSegment(const std::string& id,
                                  const LedgerSegment& segment) {
  const uint64_t end = static_cast<uint64_t>(segment.m_end);
  const CopyState state = m_copies.State(id, segment.m_number);
  uint64_t next = state.m_present ? state.m_next : segment.m_first;
  if (state.m_damaged) {
    next = std::min(next, end);
    const Status truncated = m_copies.Truncate(id, segment.m_number, next);
    if (!truncated) {
      return truncated;
    }
  }
  while (next < end) {
    const Result<CopyChunk> chunk = FetchChunk(id, segment, next);
    if (!chunk) {
      return tl::unexpected<Error>(chunk.error());
    }
    CopyAppend append{id,
                      segment.m_number,
                      segment.m_first,
                      segment.m_epoch,
                      next,
                      TrimRecords(chunk->m_bytes, next, end)};
    append.m_repair = true;
    const Result<uint64_t> durable_end = m_copies.Append(append);
    if (!durable_end) {
      return tl::unexpected<Error>(durable_end.error());
    }
    if (*durable_end <= next) {
      return Fail(ResultCode::kCorrupt,
                  "the copy did not grow by the appended records");
    }
    next = *durable_end;
    const int64_t bytes = static_cast<int64_t>(append.m_bytes.size());
    CountMetric("bronzecross_ledger_repaired_bytes_total", {},
                static_cast<double>(bytes));
    if (WaitForStop(Millis(bytes * 1000 /
                           m_dependencies.m_options.m_repair_bytes_per_s))) {
      return Fail(ResultCode::kDraining, "the repair was stopped");
    }
  }
  return {};
}

Result<CopyChunk> LedgerRepair::FetchChunk(const std::string& id,
                                           const LedgerSegment& segment,
                                           uint64_t sequence) {
  Error last{ResultCode::kTooFewCopies,
             "no other copy of the segment can be read"};
  for (const std::string& vm : segment.m_copies) {
    if (vm == m_own_id) {
      continue;
    }
    Result<CopyChunk> chunk = m_dependencies.m_copy_client.Read(
        vm, id, segment.m_number, sequence, kFetchBytes);
    if (chunk && chunk->m_next > sequence) {
      return chunk;
    }
    if (!chunk) {
      last = chunk.error();
    }
  }
  return tl::unexpected<Error>(std::move(last));
}

void LedgerRepair::RemoveUnreferencedCopies(const Ledgers& ledgers) {
  std::set<std::string> ledger_ids;
  std::set<std::pair<std::string, uint64_t>> referenced;
  for (const auto& [id, metadata] : ledgers) {
    ledger_ids.insert(id);
    for (const LedgerSegment& segment : metadata.m_segments) {
      if (Contains(segment.m_copies, m_own_id)) {
        referenced.emplace(id, segment.m_number);
      }
    }
  }
  for (const LocalCopy& copy : m_copies.List()) {
    if (referenced.contains({copy.m_ledger, copy.m_segment}) ||
        WallNow() - copy.m_modified_at < kMinUnreferencedAge) {
      continue;
    }
    Log(Severity::kInfo, LogPart::kLedger, "Removed an unreferenced copy.",
        {{"ledger", copy.m_ledger}, {"segment", copy.m_segment}});
    // The epoch is kept while the ledger exists, so that old writers stay
    // fenced.
    if (ledger_ids.contains(copy.m_ledger)) {
      m_copies.DropSegment(copy.m_ledger, copy.m_segment);
    } else {
      m_copies.Drop(copy.m_ledger);
    }
  }
}

}  // namespace bronzecross
