#include "ledger/replicated_ledger.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "base/log.h"
#include "ledger/query_copies.h"
#include "ledger/replication_rules.h"

namespace bronzecross {
namespace {

constexpr size_t kReadBytes = 1 << 20;
constexpr size_t kMaxSealedCached = 1024;
// How long a recovery or a read waits for the remaining copies after a quorum
// has replied.
constexpr Millis kStragglerTimeout{50};

tl::unexpected<Error> TooFewCopies(std::string_view id) {
  return Fail(ResultCode::kTooFewCopies,
              absl::StrCat("too few copies of ledger ", std::string(id),
                           " can be read"));
}

// Calls `visit` for the records of `bytes`, which start at `sequence`, up to
// `end`, and advances `sequence`.
Status VisitRecords(std::string_view bytes,
                    uint64_t end,
                    uint64_t& sequence,
                    const LedgerVisitor& visit,
                    bool& stopped) {
  while (!bytes.empty() && sequence < end && !stopped) {
    const Result<LedgerRecord> record = ConsumeRecord(bytes);
    if (!record) {
      return tl::unexpected<Error>(record.error());
    }
    if (record->m_sequence != sequence) {
      return Fail(ResultCode::kCorrupt, "a record is out of order");
    }
    ++sequence;
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
      m_metadata_store(store, m_options.m_prefix),
      m_copy_client(membership, m_options.m_copy_timeout) {
  if (!m_options.m_data_dir.empty()) {
    m_copies = std::make_unique<CopyStore>(m_options.m_data_dir + "/ledgers",
                                           m_options.m_data_max_bytes);
    m_repair = std::make_unique<LedgerRepair>(Dependencies(), *m_copies);
  }
  RegisterCopyMethods(server, m_copies.get());
}

ReplicatedLedger::~ReplicatedLedger() {
  Stop();
  m_pending_calls->WaitIdle();
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

LedgerDependencies ReplicatedLedger::Dependencies() {
  return LedgerDependencies{m_options, m_membership, m_metadata_store,
                            m_copy_client};
}

std::unique_ptr<LedgerWriter> ReplicatedLedger::MakeWriter(
    std::string_view id,
    LedgerMetadata metadata) {
  const std::string name(id);
  const uint64_t epoch = metadata.m_epoch;
  std::unique_ptr<ReplicatedWriter> writer = std::make_unique<ReplicatedWriter>(
      Dependencies(), name, std::move(metadata), [this, name, epoch] {
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
    return Fail(ResultCode::kInvalidArgument, "the ledger id is not valid");
  }
  const Result<StoredMetadata> old = m_metadata_store.Load(id);
  if (old) {
    return Fail(ResultCode::kConflict, "the ledger already exists");
  }
  if (old.error().m_code != ResultCode::kNotFound) {
    return tl::unexpected<Error>(old.error());
  }
  LedgerMetadata metadata;
  metadata.m_epoch = 1;
  metadata.m_owner = m_membership.Self().m_id;
  std::vector<std::string> exclude;
  Result<LedgerSegment> segment =
      PrepareSegment(Dependencies(), id, metadata.m_epoch, 0, 0, exclude);
  if (!segment) {
    return tl::unexpected<Error>(segment.error());
  }
  metadata.m_segments.push_back(std::move(*segment));
  const Status saved = m_metadata_store.Save(id, metadata, 0);
  if (!saved) {
    return tl::unexpected<Error>(saved.error());
  }
  return MakeWriter(id, std::move(metadata));
}

Result<LedgerMetadata> ReplicatedLedger::ClaimEpoch(std::string_view id) {
  uint64_t old_epoch = 0;
  return m_metadata_store.Update(id, [&](LedgerMetadata& metadata) -> Status {
    if (metadata.m_sealed) {
      return Fail(ResultCode::kConflict, "the ledger is sealed");
    }
    if (old_epoch != 0 && metadata.m_epoch != old_epoch) {
      return Fail(ResultCode::kConflict,
                  "another VM has taken over the ledger");
    }
    old_epoch = metadata.m_epoch;
    ++metadata.m_epoch;
    metadata.m_owner = m_membership.Self().m_id;
    return {};
  });
}

Result<std::unique_ptr<LedgerWriter>> ReplicatedLedger::TakeOver(
    std::string_view id) {
  const Millis start = MonotonicNow();
  const Result<LedgerMetadata> claimed = ClaimEpoch(id);
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
  const Result<LedgerSegment> next_segment = PrepareSegment(
      Dependencies(), id, epoch, last.m_number + 1, *end, exclude);
  if (!next_segment) {
    return tl::unexpected<Error>(next_segment.error());
  }
  Result<LedgerMetadata> metadata =
      m_metadata_store.Update(id, [&](LedgerMetadata& current) -> Status {
        if (current.m_epoch != epoch) {
          return Fail(ResultCode::kConflict,
                      "another VM has taken over the ledger");
        }
        LedgerSegment& open = current.m_segments.back();
        if (open.m_number == next_segment->m_number) {
          return {};
        }
        open.m_end = static_cast<int64_t>(*end);
        if (open.m_first == *end) {
          current.m_segments.pop_back();
        }
        current.m_segments.push_back(*next_segment);
        return {};
      });
  if (!metadata) {
    return tl::unexpected<Error>(metadata.error());
  }
  Log(Severity::kInfo, LogPart::kLedger, "Took over a ledger.",
      {{"ledger", id},
       {"epoch", epoch},
       {"next", *end},
       {"ms", MonotonicNow() - start}});
  return MakeWriter(id, std::move(*metadata));
}

Result<uint64_t> ReplicatedLedger::Recover(std::string_view id,
                                           uint64_t epoch,
                                           const LedgerSegment& segment) {
  const size_t quorum = RecoveryQuorum(segment.m_copies.size());
  const std::vector<std::optional<Result<CopyState>>> replies =
      QueryCopies(segment.m_copies, quorum, kStragglerTimeout, m_pending_calls,
                  [client = m_copy_client, ledger = std::string(id), epoch,
                   number = segment.m_number](const std::string& vm) mutable {
                    return client.Fence(vm, ledger, epoch, number);
                  });
  size_t valid = 0;
  size_t longest = 0;
  uint64_t end = segment.m_first;
  for (size_t i = 0; i < replies.size(); ++i) {
    if (!replies[i]) {
      continue;
    }
    const Result<CopyState>& state = *replies[i];
    if (!state && state.error().m_code == ResultCode::kFenced) {
      return Fail(ResultCode::kConflict,
                  "another VM has taken over the ledger");
    }
    if (state && IsValidCopy(*state)) {
      ++valid;
      if (state->m_next > end) {
        end = state->m_next;
        longest = i;
      }
    }
  }
  if (valid < quorum) {
    return TooFewCopies(id);
  }
  size_t caught_up = 0;
  for (size_t i = 0; i < replies.size(); ++i) {
    if (!replies[i] || !*replies[i] || !IsValidCopy(**replies[i])) {
      continue;
    }
    const uint64_t next = (*replies[i])->m_next;
    caught_up += next >= end || CatchUpCopy(id, epoch, segment,
                                            segment.m_copies[longest],
                                            segment.m_copies[i], next, end)
                     ? 1
                     : 0;
  }
  return caught_up >= quorum ? Result<uint64_t>(end) : TooFewCopies(id);
}

Status ReplicatedLedger::CatchUpCopy(std::string_view id,
                                     uint64_t epoch,
                                     const LedgerSegment& segment,
                                     const std::string& source,
                                     const std::string& target,
                                     uint64_t next,
                                     uint64_t end) {
  while (next < end) {
    const Result<CopyChunk> chunk =
        m_copy_client.Read(source, id, segment.m_number, next, kReadBytes);
    if (!chunk) {
      return tl::unexpected<Error>(chunk.error());
    }
    const Result<uint64_t> durable_end = m_copy_client.Append(
        target,
        {id, segment.m_number, segment.m_first, epoch, next, chunk->m_bytes});
    if (!durable_end) {
      return tl::unexpected<Error>(durable_end.error());
    }
    if (*durable_end <= next) {
      return Fail(ResultCode::kCorrupt,
                  "a copy did not grow by the appended records");
    }
    next = *durable_end;
  }
  return {};
}

Result<LedgerMetadata> ReplicatedLedger::FindMetadata(std::string_view id) {
  {
    absl::MutexLock lock(&m_mutex);
    const auto sealed = m_sealed.find(id);
    if (sealed != m_sealed.end()) {
      return sealed->second;
    }
  }
  Result<StoredMetadata> stored = m_metadata_store.Load(id);
  absl::MutexLock lock(&m_mutex);
  const auto writer = m_writers.find(id);
  // This VM's writer has the exact acknowledged end, unless a newer writer has
  // taken over, which is impossible during a store outage.
  if (writer != m_writers.end() &&
      (stored ? stored->m_metadata.m_epoch == writer->second->Epoch()
              : stored.error().m_code == ResultCode::kStoreUnavailable)) {
    return writer->second->Snapshot();
  }
  if (!stored) {
    return tl::unexpected<Error>(stored.error());
  }
  if (stored->m_metadata.m_sealed) {
    if (m_sealed.size() >= kMaxSealedCached) {
      m_sealed.clear();
    }
    m_sealed.insert_or_assign(std::string(id), stored->m_metadata);
  }
  return std::move(stored->m_metadata);
}

Result<uint64_t> ReplicatedLedger::FindOpenSegmentEnd(
    std::string_view id,
    const LedgerSegment& segment) {
  const size_t quorum = RecoveryQuorum(segment.m_copies.size());
  std::vector<uint64_t> durable_ends;
  for (const std::optional<Result<CopyState>>& reply :
       QueryCopies(segment.m_copies, quorum, kStragglerTimeout, m_pending_calls,
                   [client = m_copy_client, ledger = std::string(id),
                   number = segment.m_number](const std::string& vm) mutable {
                     return client.State(vm, ledger, number);
                   })) {
    if (reply && *reply && IsValidCopy(**reply)) {
      durable_ends.push_back((*reply)->m_next);
    }
  }
  if (durable_ends.size() < quorum) {
    return TooFewCopies(id);
  }
  std::sort(durable_ends.rbegin(), durable_ends.rend());
  // Records on two copies survive any recovery. If one copy did not reply, it
  // may be the second one with the records.
  return durable_ends.size() == segment.m_copies.size() &&
                 durable_ends.size() > 1
             ? durable_ends[1]
             : durable_ends[0];
}

Result<CopyChunk> ReplicatedLedger::ReadFromAnyCopy(
    std::string_view id,
    const LedgerSegment& segment,
    uint64_t sequence) {
  std::vector<std::string> ordered_copies;
  const std::vector<Member> live = m_membership.Live();
  const std::string& own_id = m_membership.Self().m_id;
  for (const bool want_live : {true, false}) {
    for (const std::string& vm : segment.m_copies) {
      const bool is_live =
          std::any_of(live.begin(), live.end(),
                      [&](const Member& member) { return member.m_id == vm; });
      if (is_live == want_live) {
        ordered_copies.insert(
            vm == own_id ? ordered_copies.begin() : ordered_copies.end(), vm);
      }
    }
  }
  Error last{ResultCode::kTooFewCopies, "no copy of a segment can be read"};
  for (const std::string& vm : ordered_copies) {
    Result<CopyChunk> chunk =
        m_copy_client.Read(vm, id, segment.m_number, sequence, kReadBytes);
    if (chunk && chunk->m_next > sequence) {
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
                                     uint64_t& sequence,
                                     const LedgerVisitor& visit,
                                     bool& stopped) {
  while (sequence < end && !stopped) {
    const Result<CopyChunk> chunk = ReadFromAnyCopy(id, segment, sequence);
    if (!chunk) {
      return tl::unexpected<Error>(chunk.error());
    }
    const Status visited =
        VisitRecords(chunk->m_bytes, end, sequence, visit, stopped);
    if (!visited) {
      return visited;
    }
  }
  return {};
}

Status ReplicatedLedger::Read(std::string_view id,
                              uint64_t first,
                              const LedgerVisitor& visit) {
  uint64_t sequence = first;
  bool stopped = false;
  Status last;
  // LedgerRepair moves copies, so after a failure the metadata is loaded once
  // more.
  for (int attempt = 0; attempt < 2; ++attempt) {
    const Result<LedgerMetadata> metadata = FindMetadata(id);
    if (!metadata) {
      return tl::unexpected<Error>(metadata.error());
    }
    last = {};
    for (const LedgerSegment& segment : metadata->m_segments) {
      const bool open = segment.m_end == kOpenSegment;
      if (stopped || !last ||
          (!open && static_cast<uint64_t>(segment.m_end) <= sequence)) {
        continue;
      }
      const Result<uint64_t> end =
          open ? FindOpenSegmentEnd(id, segment)
               : Result<uint64_t>(static_cast<uint64_t>(segment.m_end));
      last = end ? ReadSegment(id, segment, *end, sequence, visit, stopped)
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
  const Result<StoredMetadata> stored = m_metadata_store.Load(id);
  if (!stored) {
    return tl::unexpected<Error>(stored.error());
  }
  const Status removed = m_metadata_store.Remove(id, stored->m_revision);
  if (!removed) {
    return removed;
  }
  {
    absl::MutexLock lock(&m_mutex);
    m_sealed.erase(std::string(id));
  }
  std::vector<std::string> holders;
  for (const LedgerSegment& segment : stored->m_metadata.m_segments) {
    holders.insert(holders.end(), segment.m_copies.begin(),
                   segment.m_copies.end());
  }
  std::sort(holders.begin(), holders.end());
  holders.erase(std::unique(holders.begin(), holders.end()), holders.end());
  for (const std::string& vm : holders) {
    m_copy_client.Drop(vm, id);
  }
  return {};
}

}  // namespace bronzecross
