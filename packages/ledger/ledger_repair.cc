#include "ledger/ledger_repair.h"

#include <algorithm>
#include <optional>
#include <set>

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include "base/log.h"
#include "base/metrics.h"
#include "ledger/copy_rules.h"
#include "membership/rendezvous.h"

namespace bronzecross {
namespace {

constexpr size_t kFetchBytes = 1 << 20;
// A file that no record names may belong to a segment whose record is about to
// be written.
constexpr Millis kStrayAge{600'000};

// The records of `bytes`, which start at `first`, that lie before `end`.
std::string_view TrimRecords(std::string_view bytes,
                             uint64_t first,
                             uint64_t end) {
  std::string_view rest = bytes;
  for (uint64_t at = first; at < end && !rest.empty(); ++at) {
    if (!TakeRecord(rest)) {
      break;
    }
  }
  return bytes.substr(0, bytes.size() - rest.size());
}

bool Contains(const std::vector<std::string>& ids, const std::string& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

LedgerRepair::LedgerRepair(LedgerParts parts, CopyStore& copies)
    : m_parts(parts),
      m_copies(copies),
      m_own(parts.m_membership.Self().m_id),
      m_started(MonotonicNow()) {}

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

bool LedgerRepair::WaitStopped(Millis duration) {
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
  } while (!WaitStopped(m_parts.m_options.m_repair_interval));
}

void LedgerRepair::Scan() {
  for (const Member& member : m_parts.m_membership.Live()) {
    m_last_live[member.m_id] = MonotonicNow();
  }
  const Result<Ledgers> ledgers = m_parts.m_indexes.List();
  if (!ledgers) {
    return;
  }
  for (const auto& [id, index] : *ledgers) {
    for (const LedgerSegment& segment : index.m_segments) {
      if (segment.m_end == kOpenSegment || WaitStopped(Millis(0))) {
        continue;
      }
      if (Contains(segment.m_copies, m_own)) {
        RestoreOwn(id, segment);
        continue;
      }
      const std::optional<std::string> lost = FindReplaced(id, segment);
      if (lost) {
        Replace(id, segment, *lost);
      }
    }
  }
  RemoveStrays(*ledgers);
}

std::optional<std::string> LedgerRepair::FindReplaced(
    const std::string& id,
    const LedgerSegment& segment) {
  // All VMs rank the candidates alike, so that one of them acts; if two do, the
  // compare-and-swap of the record lets one win.
  const std::vector<std::string> chosen =
      ChooseCopies(absl::StrCat(id, "/", segment.m_number), "",
                   m_parts.m_membership.Live(), segment.m_copies);
  if (chosen.empty() || chosen.front() != m_own) {
    return std::nullopt;
  }
  for (const std::string& vm : segment.m_copies) {
    const auto seen = m_last_live.find(vm);
    const Millis since = seen != m_last_live.end() ? seen->second : m_started;
    if (MonotonicNow() - since > m_parts.m_options.m_repair_after) {
      return vm;
    }
  }
  return segment.m_copies.size() < kLedgerCopies
             ? std::optional<std::string>("")
             : std::nullopt;
}

void LedgerRepair::RestoreOwn(const std::string& id,
                              const LedgerSegment& segment) {
  const uint64_t end = static_cast<uint64_t>(segment.m_end);
  const CopyState state = m_copies.State(id, segment.m_number);
  Status restored;
  if (state.m_present && !state.m_damaged && state.m_next >= end) {
    if (state.m_next == end) {
      return;
    }
    // The rest was never acknowledged.
    restored = m_copies.CutBack(id, segment.m_number, end);
  } else {
    restored = Fetch(id, segment);
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

void LedgerRepair::Replace(const std::string& id,
                           const LedgerSegment& segment,
                           const std::string& lost) {
  const Status fetched = Fetch(id, segment);
  if (!fetched) {
    LogError(Severity::kWarning, LogPart::kLedger,
             "Cannot fetch a lost copy again.", fetched.error());
    return;
  }
  const Result<LedgerIndex> saved =
      m_parts.m_indexes.Update(id, [&](LedgerIndex& index) -> Status {
        for (LedgerSegment& current : index.m_segments) {
          if (current.m_number != segment.m_number ||
              Contains(current.m_copies, m_own)) {
            continue;
          }
          const auto place =
              std::find(current.m_copies.begin(), current.m_copies.end(), lost);
          if (place != current.m_copies.end()) {
            *place = m_own;
          } else if (current.m_copies.size() < kLedgerCopies) {
            current.m_copies.push_back(m_own);
          } else {
            return Fail(ResultCode::kConflict, "the copy was replaced already");
          }
        }
        return {};
      });
  if (!saved) {
    LogError(Severity::kWarning, LogPart::kLedger,
             "Cannot record a replaced copy.", saved.error());
    return;
  }
  CountMetric("bronzecross_ledger_copies_replaced_total");
  Log(Severity::kInfo, LogPart::kLedger, "Replaced a lost copy.",
      {{"ledger", id}, {"segment", segment.m_number}, {"lost", lost}});
}

Status LedgerRepair::Fetch(const std::string& id,
                           const LedgerSegment& segment) {
  const uint64_t end = static_cast<uint64_t>(segment.m_end);
  const CopyState state = m_copies.State(id, segment.m_number);
  uint64_t next = state.m_present ? state.m_next : segment.m_first;
  if (state.m_damaged) {
    next = std::min(next, end);
    const Status cut = m_copies.CutBack(id, segment.m_number, next);
    if (!cut) {
      return cut;
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
    const Result<uint64_t> held = m_copies.Append(append);
    if (!held) {
      return tl::unexpected<Error>(held.error());
    }
    if (*held <= next) {
      return Fail(ResultCode::kCorrupt, "the copy does not grow");
    }
    next = *held;
    const int64_t bytes = static_cast<int64_t>(append.m_bytes.size());
    CountMetric("bronzecross_ledger_repaired_bytes_total", {},
                static_cast<double>(bytes));
    if (WaitStopped(
            Millis(bytes * 1000 / m_parts.m_options.m_repair_bytes_per_s))) {
      return Fail(ResultCode::kDraining, "the repair was stopped");
    }
  }
  return {};
}

Result<CopyChunk> LedgerRepair::FetchChunk(const std::string& id,
                                           const LedgerSegment& segment,
                                           uint64_t at) {
  Error last{ResultCode::kTooFewCopies, "no other copy can be read"};
  for (const std::string& vm : segment.m_copies) {
    if (vm == m_own) {
      continue;
    }
    Result<CopyChunk> chunk =
        m_parts.m_peers.Read(vm, id, segment.m_number, at, kFetchBytes);
    if (chunk && chunk->m_next > at) {
      return chunk;
    }
    if (!chunk) {
      last = chunk.error();
    }
  }
  return tl::unexpected<Error>(std::move(last));
}

void LedgerRepair::RemoveStrays(const Ledgers& ledgers) {
  std::set<std::string> known;
  std::set<std::pair<std::string, uint64_t>> wanted;
  for (const auto& [id, index] : ledgers) {
    known.insert(id);
    for (const LedgerSegment& segment : index.m_segments) {
      if (Contains(segment.m_copies, m_own)) {
        wanted.emplace(id, segment.m_number);
      }
    }
  }
  for (const LocalCopy& copy : m_copies.List()) {
    if (wanted.contains({copy.m_ledger, copy.m_segment}) ||
        WallNow() - copy.m_changed < kStrayAge) {
      continue;
    }
    Log(Severity::kInfo, LogPart::kLedger, "Removed an unused copy.",
        {{"ledger", copy.m_ledger}, {"segment", copy.m_segment}});
    // The epoch stays while the ledger exists, so that an old writer stays
    // fenced.
    if (known.contains(copy.m_ledger)) {
      m_copies.DropSegment(copy.m_ledger, copy.m_segment);
    } else {
      m_copies.Drop(copy.m_ledger);
    }
  }
}

}  // namespace bronzecross
