#include "ledger/replicated_ledger.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "base/log.h"
#include "ledger/ask_copies.h"
#include "ledger/copy_rules.h"

namespace bronzecross {
namespace {

constexpr size_t kReadBytes = 1 << 20;
constexpr size_t kMaxSealedCached = 1024;
// How long a recovery or a read waits for the last copy once enough others have
// answered.
constexpr Millis kGrace{50};

tl::unexpected<Error> TooFewAnswers(std::string_view id) {
  return Fail(ResultCode::kTooFewCopies,
              absl::StrCat("too few copies of ledger ", std::string(id),
                           " can be read"));
}

// Gives the records of `bytes` from `at` up to `end`.
Status VisitRecords(std::string_view bytes,
                    uint64_t end,
                    uint64_t& at,
                    const LedgerVisitor& visit,
                    bool& stopped) {
  while (!bytes.empty() && at < end && !stopped) {
    const Result<LedgerRecord> record = TakeRecord(bytes);
    if (!record) {
      return tl::unexpected<Error>(record.error());
    }
    if (record->m_sequence != at) {
      return Fail(ResultCode::kCorrupt, "a record is out of order");
    }
    ++at;
    stopped = !visit(*record);
  }
  return {};
}

}  // namespace

ReplicatedLedger::ReplicatedLedger(LedgerOptions options,
                                   KvClient& store,
                                   Membership& membership,
                                   PeerServer& server)
    : m_options(std::move(options)),
      m_membership(membership),
      m_indexes(store, m_options.m_prefix),
      m_peers(membership, m_options.m_copy_timeout) {
  if (!m_options.m_data_dir.empty()) {
    m_copies = std::make_unique<CopyStore>(m_options.m_data_dir + "/ledgers",
                                           m_options.m_data_max_bytes);
    m_repair = std::make_unique<LedgerRepair>(Parts(), *m_copies);
  }
  RegisterCopyMethods(server, m_copies.get());
}

ReplicatedLedger::~ReplicatedLedger() {
  Stop();
  m_calls->WaitIdle();
}

void ReplicatedLedger::Start() {
  if (m_repair != nullptr) {
    m_repair->Start();
  }
}

void ReplicatedLedger::Stop() {
  if (m_repair != nullptr) {
    m_repair->Stop();
  }
}

int64_t ReplicatedLedger::UsedBytes() const {
  return m_copies != nullptr ? m_copies->UsedBytes() : 0;
}

LedgerParts ReplicatedLedger::Parts() {
  return LedgerParts{m_options, m_membership, m_indexes, m_peers};
}

std::unique_ptr<LedgerWriter> ReplicatedLedger::MakeWriter(std::string_view id,
                                                           LedgerIndex index) {
  const std::string name(id);
  const uint64_t epoch = index.m_epoch;
  std::unique_ptr<ReplicatedWriter> writer = std::make_unique<ReplicatedWriter>(
      Parts(), name, std::move(index), [this, name, epoch] {
        absl::MutexLock lock(&m_mutex);
        const auto found = m_writers.find(name);
        if (found != m_writers.end() && found->second->Epoch() == epoch) {
          m_writers.erase(found);
        }
      });
  absl::MutexLock lock(&m_mutex);
  m_writers[name] = writer.get();
  return writer;
}

Result<std::unique_ptr<LedgerWriter>> ReplicatedLedger::Create(
    std::string_view id) {
  if (!IsLedgerId(id)) {
    return Fail(ResultCode::kInvalidArgument, "the ledger's id is not valid");
  }
  const Result<StoredIndex> old = m_indexes.Load(id);
  if (old) {
    return Fail(ResultCode::kConflict, "the ledger exists");
  }
  if (old.error().m_code != ResultCode::kNotFound) {
    return tl::unexpected<Error>(old.error());
  }
  LedgerIndex index;
  index.m_epoch = 1;
  index.m_owner = m_membership.Self().m_id;
  std::vector<std::string> exclude;
  Result<LedgerSegment> segment =
      PrepareSegment(Parts(), id, index.m_epoch, 0, 0, exclude);
  if (!segment) {
    return tl::unexpected<Error>(segment.error());
  }
  index.m_segments.push_back(std::move(*segment));
  const Status saved = m_indexes.Save(id, index, 0);
  if (!saved) {
    return tl::unexpected<Error>(saved.error());
  }
  return MakeWriter(id, std::move(index));
}

Result<LedgerIndex> ReplicatedLedger::Claim(std::string_view id) {
  uint64_t seen = 0;
  return m_indexes.Update(id, [&](LedgerIndex& index) -> Status {
    if (index.m_sealed) {
      return Fail(ResultCode::kConflict, "the ledger is sealed");
    }
    if (seen != 0 && index.m_epoch != seen) {
      return Fail(ResultCode::kConflict, "another VM was first");
    }
    seen = index.m_epoch;
    ++index.m_epoch;
    index.m_owner = m_membership.Self().m_id;
    return {};
  });
}

Result<std::unique_ptr<LedgerWriter>> ReplicatedLedger::TakeOver(
    std::string_view id) {
  const Millis start = MonotonicNow();
  const Result<LedgerIndex> claimed = Claim(id);
  if (!claimed) {
    return tl::unexpected<Error>(claimed.error());
  }
  const uint64_t epoch = claimed->m_epoch;
  const LedgerSegment last = claimed->m_segments.back();
  const Result<uint64_t> end = Recover(id, epoch, last);
  if (!end) {
    return tl::unexpected<Error>(end.error());
  }
  std::vector<std::string> exclude;
  const Result<LedgerSegment> fresh =
      PrepareSegment(Parts(), id, epoch, last.m_number + 1, *end, exclude);
  if (!fresh) {
    return tl::unexpected<Error>(fresh.error());
  }
  Result<LedgerIndex> index =
      m_indexes.Update(id, [&](LedgerIndex& current) -> Status {
        if (current.m_epoch != epoch) {
          return Fail(ResultCode::kConflict, "another VM was first");
        }
        LedgerSegment& open = current.m_segments.back();
        if (open.m_number == fresh->m_number) {
          return {};
        }
        open.m_end = static_cast<int64_t>(*end);
        if (open.m_first == *end) {
          current.m_segments.pop_back();
        }
        current.m_segments.push_back(*fresh);
        return {};
      });
  if (!index) {
    return tl::unexpected<Error>(index.error());
  }
  Log(Severity::kInfo, LogPart::kLedger, "Took a ledger over.",
      {{"ledger", id},
       {"epoch", epoch},
       {"next", *end},
       {"ms", MonotonicNow() - start}});
  return MakeWriter(id, std::move(*index));
}

Result<uint64_t> ReplicatedLedger::Recover(std::string_view id,
                                           uint64_t epoch,
                                           const LedgerSegment& segment) {
  const size_t need = RecoveryNeed(segment.m_copies.size());
  const std::vector<std::optional<Result<CopyState>>> answers =
      AskCopies(segment.m_copies, need, kGrace, m_calls,
                [peers = m_peers, ledger = std::string(id), epoch,
                 number = segment.m_number](const std::string& vm) mutable {
                  return peers.Fence(vm, ledger, epoch, number);
                });
  size_t valid = 0;
  size_t longest = 0;
  uint64_t end = segment.m_first;
  for (size_t i = 0; i < answers.size(); ++i) {
    if (!answers[i]) {
      continue;
    }
    const Result<CopyState>& state = *answers[i];
    if (!state && state.error().m_code == ResultCode::kFenced) {
      return Fail(ResultCode::kConflict, "another VM was first");
    }
    if (state && IsValidCopy(*state)) {
      ++valid;
      if (state->m_next > end) {
        end = state->m_next;
        longest = i;
      }
    }
  }
  if (valid < need) {
    return TooFewAnswers(id);
  }
  size_t whole = 0;
  for (size_t i = 0; i < answers.size(); ++i) {
    if (!answers[i] || !*answers[i] || !IsValidCopy(**answers[i])) {
      continue;
    }
    const uint64_t next = (*answers[i])->m_next;
    whole +=
        next >= end || FillCopy(id, epoch, segment, segment.m_copies[longest],
                                segment.m_copies[i], next, end)
            ? 1
            : 0;
  }
  return whole >= need ? Result<uint64_t>(end) : TooFewAnswers(id);
}

Status ReplicatedLedger::FillCopy(std::string_view id,
                                  uint64_t epoch,
                                  const LedgerSegment& segment,
                                  const std::string& source,
                                  const std::string& target,
                                  uint64_t next,
                                  uint64_t end) {
  while (next < end) {
    const Result<CopyChunk> chunk =
        m_peers.Read(source, id, segment.m_number, next, kReadBytes);
    if (!chunk) {
      return tl::unexpected<Error>(chunk.error());
    }
    const Result<uint64_t> held = m_peers.Append(
        target,
        {id, segment.m_number, segment.m_first, epoch, next, chunk->m_bytes});
    if (!held) {
      return tl::unexpected<Error>(held.error());
    }
    if (*held <= next) {
      return Fail(ResultCode::kCorrupt, "a copy does not grow");
    }
    next = *held;
  }
  return {};
}

Result<LedgerIndex> ReplicatedLedger::FindIndex(std::string_view id) {
  {
    absl::MutexLock lock(&m_mutex);
    const auto sealed = m_sealed.find(id);
    if (sealed != m_sealed.end()) {
      return sealed->second;
    }
  }
  Result<StoredIndex> stored = m_indexes.Load(id);
  absl::MutexLock lock(&m_mutex);
  const auto writer = m_writers.find(id);
  // This VM's writer knows exactly what is acknowledged, unless another one has
  // taken over. During a store outage nobody can take over.
  if (writer != m_writers.end() &&
      (stored ? stored->m_index.m_epoch == writer->second->Epoch()
              : stored.error().m_code == ResultCode::kStoreUnavailable)) {
    return writer->second->Snapshot();
  }
  if (!stored) {
    return tl::unexpected<Error>(stored.error());
  }
  if (stored->m_index.m_sealed) {
    if (m_sealed.size() >= kMaxSealedCached) {
      m_sealed.clear();
    }
    m_sealed.insert_or_assign(std::string(id), stored->m_index);
  }
  return std::move(stored->m_index);
}

Result<uint64_t> ReplicatedLedger::OpenEnd(std::string_view id,
                                           const LedgerSegment& segment) {
  const size_t need = RecoveryNeed(segment.m_copies.size());
  std::vector<uint64_t> held;
  for (const std::optional<Result<CopyState>>& answer :
       AskCopies(segment.m_copies, need, kGrace, m_calls,
                 [peers = m_peers, ledger = std::string(id),
                 number = segment.m_number](const std::string& vm) mutable {
                   return peers.State(vm, ledger, number);
                 })) {
    if (answer && *answer && IsValidCopy(**answer)) {
      held.push_back((*answer)->m_next);
    }
  }
  if (held.size() < need) {
    return TooFewAnswers(id);
  }
  std::sort(held.rbegin(), held.rend());
  // Records on two copies survive any recovery. With one answer short, the
  // silent copy may be the second holder.
  return held.size() == segment.m_copies.size() && held.size() > 1 ? held[1]
                                                                   : held[0];
}

Result<CopyChunk> ReplicatedLedger::ReadAny(std::string_view id,
                                            const LedgerSegment& segment,
                                            uint64_t at) {
  std::vector<std::string> order;
  const std::vector<Member> live = m_membership.Live();
  const std::string& own = m_membership.Self().m_id;
  for (const bool wanted : {true, false}) {
    for (const std::string& vm : segment.m_copies) {
      const bool is_live =
          std::any_of(live.begin(), live.end(),
                      [&](const Member& member) { return member.m_id == vm; });
      if (is_live == wanted) {
        order.insert(vm == own ? order.begin() : order.end(), vm);
      }
    }
  }
  Error last{ResultCode::kTooFewCopies, "no copy of a segment can be read"};
  for (const std::string& vm : order) {
    Result<CopyChunk> chunk =
        m_peers.Read(vm, id, segment.m_number, at, kReadBytes);
    if (chunk && chunk->m_next > at) {
      return chunk;
    }
    if (!chunk) {
      last.m_message = chunk.error().m_message;
      Log(Severity::kWarning, LogPart::kLedger, "Cannot read a copy.",
          {{"ledger", id},
           {"segment", segment.m_number},
           {"vm", vm},
           {"error", chunk.error().m_message}});
    }
  }
  return tl::unexpected<Error>(std::move(last));
}

Status ReplicatedLedger::ReadSegment(std::string_view id,
                                     const LedgerSegment& segment,
                                     uint64_t end,
                                     uint64_t& at,
                                     const LedgerVisitor& visit,
                                     bool& stopped) {
  while (at < end && !stopped) {
    const Result<CopyChunk> chunk = ReadAny(id, segment, at);
    if (!chunk) {
      return tl::unexpected<Error>(chunk.error());
    }
    const Status visited =
        VisitRecords(chunk->m_bytes, end, at, visit, stopped);
    if (!visited) {
      return visited;
    }
  }
  return {};
}

Status ReplicatedLedger::Read(std::string_view id,
                              uint64_t first,
                              const LedgerVisitor& visit) {
  uint64_t at = first;
  bool stopped = false;
  Status last;
  // The repair moves copies: after a failure the record is read once more.
  for (int round = 0; round < 2; ++round) {
    const Result<LedgerIndex> index = FindIndex(id);
    if (!index) {
      return tl::unexpected<Error>(index.error());
    }
    last = {};
    for (const LedgerSegment& segment : index->m_segments) {
      const bool open = segment.m_end == kOpenSegment;
      if (stopped || !last ||
          (!open && static_cast<uint64_t>(segment.m_end) <= at)) {
        continue;
      }
      const Result<uint64_t> end =
          open ? OpenEnd(id, segment)
               : Result<uint64_t>(static_cast<uint64_t>(segment.m_end));
      last = end ? ReadSegment(id, segment, *end, at, visit, stopped)
                 : Status(tl::unexpected<Error>(end.error()));
    }
    if (last) {
      return {};
    }
    absl::MutexLock lock(&m_mutex);
    m_sealed.erase(std::string(id));
  }
  return last;
}

Status ReplicatedLedger::Delete(std::string_view id) {
  const Result<StoredIndex> stored = m_indexes.Load(id);
  if (!stored) {
    return tl::unexpected<Error>(stored.error());
  }
  const Status removed = m_indexes.Remove(id, stored->m_revision);
  if (!removed) {
    return removed;
  }
  {
    absl::MutexLock lock(&m_mutex);
    m_sealed.erase(std::string(id));
  }
  std::vector<std::string> holders;
  for (const LedgerSegment& segment : stored->m_index.m_segments) {
    holders.insert(holders.end(), segment.m_copies.begin(),
                   segment.m_copies.end());
  }
  std::sort(holders.begin(), holders.end());
  holders.erase(std::unique(holders.begin(), holders.end()), holders.end());
  for (const std::string& vm : holders) {
    m_peers.Drop(vm, id);
  }
  return {};
}

}  // namespace bronzecross
