#include "receipts/receipt_shard.h"

#include <algorithm>
#include <array>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include "base/hash.h"
#include "base/log.h"
#include "http/http_error_reply.h"

namespace bronzecross {
namespace {

constexpr size_t kBlockBytes = 64 * 1024;
// Larger replies are not stored: a resent request gets kOutcomeUnknown.
constexpr size_t kMaxStoredReplyBytes = 4 << 20;
constexpr uint64_t kMinRecordsToCompact = 10'000;
constexpr size_t kCompactBatch = 256;

uint64_t RequestHash(const HttpRequest& request) {
  return Hash64(request.m_body,
                Hash64(absl::StrCat(request.m_method, " ", request.m_path)));
}

HttpReply OutcomeUnknown(std::string_view message) {
  return ErrorReply(
      FailMayHaveRun(ResultCode::kOutcomeUnknown, message).value());
}

}  // namespace

HttpReply ReadWholeReply(HttpReply reply) {
  if (!reply.m_reader) {
    return reply;
  }
  std::array<char, kBlockBytes> buffer;
  const BodyReader reader = std::exchange(reply.m_reader, nullptr);
  while (true) {
    const Result<size_t> count = reader(buffer);
    if (!count) {
      return ErrorReply(
          FailMayHaveRun(ResultCode::kStreamCut, count.error().m_message)
              .value());
    }
    if (*count == 0) {
      return reply;
    }
    reply.m_body.append(buffer.data(), *count);
  }
}

ReceiptShard::ReceiptShard(ReceiptOptions options,
                           LedgerService& ledgers,
                           std::string ledger_id,
                           std::unique_ptr<LedgerWriter> writer)
    : m_options(options),
      m_ledgers(ledgers),
      m_ledger_id(std::move(ledger_id)),
      m_writer(std::move(writer)),
      m_index(options.m_max_reply_bytes) {}

Status ReceiptShard::Load() {
  Status decoded;
  const Status read = m_ledgers.Read(
      LedgerId(), 0, [this, &decoded](const LedgerRecord& record) {
        const Result<ReceiptRecord> receipt = DecodeReceipt(record.m_payload);
        if (!receipt) {
          decoded = tl::unexpected<Error>(receipt.error());
          return false;
        }
        absl::MutexLock lock(&m_mutex);
        m_index.Replay(*receipt, record.m_sequence);
        ++m_records;
        return true;
      });
  absl::MutexLock lock(&m_mutex);
  m_index.Expire(WallNow() - m_options.m_retention_time);
  return read ? decoded : read;
}

std::string ReceiptShard::LedgerId() const {
  absl::ReaderMutexLock lock(&m_ledger_mutex);
  return m_ledger_id;
}

bool ReceiptShard::IsBroken() const {
  absl::MutexLock lock(&m_mutex);
  return m_broken;
}

void ReceiptShard::Close(Millis deadline) {
  absl::MutexLock lock(&m_mutex);
  m_closed = true;
  const auto idle = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) {
    return m_running == 0;
  };
  const Millis remaining = deadline - MonotonicNow();
  m_mutex.AwaitWithTimeout(
      absl::Condition(&idle),
      absl::Milliseconds(std::max<int64_t>(remaining.count(), 0)));
}

Result<HttpReply> ReceiptShard::Run(const KeyedRequest& request,
                                    Millis deadline,
                                    const ReceiptExecutor& executor) {
  ReceiptRecord record;
  record.m_id = request.m_receipt_id;
  record.m_request_hash = RequestHash(request.m_request);
  record.m_idempotent = request.m_idempotent;
  record.m_created_at = WallNow();
  ReceiptStep step = ReceiptStep::kWait;
  uint64_t sequence = 0;
  {
    absl::MutexLock lock(&m_mutex);
    if (m_broken || m_closed) {
      return Fail(ResultCode::kNotOwner,
                  "this VM has stopped serving the shard");
    }
    const Millis oldest = WallNow() - m_options.m_retention_time;
    const Receipt* receipt = nullptr;
    const auto resolved = [&]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) {
      receipt = m_index.Find(record.m_id, oldest);
      step = NextStep(receipt, record.m_request_hash);
      return step != ReceiptStep::kWait || m_broken;
    };
    const Millis remaining = deadline - MonotonicNow();
    m_mutex.AwaitWithTimeout(
        absl::Condition(&resolved),
        absl::Milliseconds(std::max<int64_t>(remaining.count(), 0)));
    if (step == ReceiptStep::kWait) {
      return FailMayHaveRun(ResultCode::kDeadlineExceeded,
                            "the same request is still running");
    }
    if (step == ReceiptStep::kReturnReply) {
      if (receipt->m_in_memory) {
        return receipt->m_reply;
      }
      sequence = receipt->m_sequence;
    }
    const bool is_new = step == ReceiptStep::kRun;
    if (is_new &&
        static_cast<int64_t>(m_index.size()) >= m_options.m_max_entries) {
      m_index.Expire(oldest);
      if (static_cast<int64_t>(m_index.size()) >= m_options.m_max_entries) {
        return ErrorReply(
            Fail(ResultCode::kOverloaded, "too many receipts are stored")
                .value());
      }
    }
    if (is_new || step == ReceiptStep::kRunAgain) {
      m_index.Begin(record);
      ++m_running;
    }
  }
  switch (step) {
    case ReceiptStep::kMismatch:
      return ErrorReply(Fail(ResultCode::kIdempotencyMismatch,
                             "the Idempotency-Key was used with another "
                             "request")
                            .value());
    case ReceiptStep::kOutcomeUnknown:
      return OutcomeUnknown(
          "the VM that ran the request failed before the reply was recorded");
    case ReceiptStep::kReturnReply:
      return ReadReply(sequence);
    case ReceiptStep::kWait:
    case ReceiptStep::kRun:
    case ReceiptStep::kRunAgain:
      break;
  }
  return RunNew(request, std::move(record), step == ReceiptStep::kRun,
                executor);
}

Result<HttpReply> ReceiptShard::RunNew(const KeyedRequest& request,
                                       ReceiptRecord record,
                                       bool append_intent,
                                       const ReceiptExecutor& executor) {
  if (append_intent) {
    record.m_kind = ReceiptKind::kIntent;
    absl::ReaderMutexLock ledger_lock(&m_ledger_mutex);
    const Result<uint64_t> appended = Append(record);
    if (!appended) {
      // The request has not run. The next owner may still find the intent in
      // the ledger and return kOutcomeUnknown to a resent request.
      EraseRunning(record.m_id);
      return tl::unexpected<Error>(Error{appended.error().m_code,
                                         appended.error().m_message,
                                         RunState::kNotRun});
    }
  }
  return RecordOutcome(
      request, std::move(record),
      ReadWholeReply(executor(request.m_workspace, request.m_request)));
}

Result<HttpReply> ReceiptShard::RecordOutcome(const KeyedRequest& request,
                                              ReceiptRecord record,
                                              HttpReply reply) {
  const std::string_view run = FindHeader(reply.m_headers, kRunHeader);
  const bool may_repeat =
      run == "not_run" || (!run.empty() && request.m_idempotent);
  record.m_kind = may_repeat ? ReceiptKind::kVoid : ReceiptKind::kResult;
  record.m_reply = reply.m_body.size() <= kMaxStoredReplyBytes
                       ? reply
                       : OutcomeUnknown("the reply was too large to be stored");
  // Held until the index is updated, so that a compaction sees either both the
  // record and the index entry or neither.
  absl::ReaderMutexLock ledger_lock(&m_ledger_mutex);
  const Result<uint64_t> appended = Append(record);
  if (!appended || may_repeat) {
    EraseRunning(record.m_id);
  }
  if (may_repeat) {
    return reply;
  }
  if (!appended) {
    // The reply is not returned, as it could contradict the reply that the next
    // owner returns to a resent request.
    const char* message = "the reply could not be recorded";
    return request.m_idempotent ? Result<HttpReply>(FailMayHaveRun(
                                      ResultCode::kOutcomeUnknown, message))
                                : OutcomeUnknown(message);
  }
  absl::MutexLock lock(&m_mutex);
  m_index.Finish(record, *appended);
  --m_running;
  return reply;
}

void ReceiptShard::EraseRunning(const std::string& id) {
  absl::MutexLock lock(&m_mutex);
  m_index.Erase(id);
  --m_running;
}

Result<uint64_t> ReceiptShard::Append(const ReceiptRecord& record) {
  const std::vector<std::string> payloads = {EncodeReceipt(record)};
  const Result<uint64_t> appended = m_writer->Append(payloads);
  absl::MutexLock lock(&m_mutex);
  ++m_records;
  m_broken = m_broken || !appended;
  return appended;
}

Result<HttpReply> ReceiptShard::ReadReply(uint64_t sequence) {
  Result<ReceiptRecord> receipt =
      Fail(ResultCode::kNotFound, "the receipt is not in the ledger");
  const Status read = m_ledgers.Read(
      LedgerId(), sequence, [&receipt](const LedgerRecord& record) {
        receipt = DecodeReceipt(record.m_payload);
        return false;
      });
  if (!read || !receipt) {
    return FailMayHaveRun(ResultCode::kTooFewCopies,
                          "the recorded reply cannot be read at present");
  }
  return std::move(receipt->m_reply);
}

bool ReceiptShard::NeedsCompaction() {
  absl::MutexLock lock(&m_mutex);
  m_index.Expire(WallNow() - m_options.m_retention_time);
  return !m_broken && !m_closed && m_records >= kMinRecordsToCompact &&
         m_records > 4 * m_index.size();
}

Result<std::vector<std::string>> ReceiptShard::LiveRecords(
    std::vector<std::string>& results) {
  std::vector<std::pair<std::string, Receipt>> live;
  {
    absl::MutexLock lock(&m_mutex);
    live.assign(m_index.Receipts().begin(), m_index.Receipts().end());
  }
  std::vector<std::string> payloads;
  for (auto& [id, receipt] : live) {
    ReceiptRecord record;
    record.m_id = id;
    record.m_request_hash = receipt.m_request_hash;
    record.m_idempotent = receipt.m_idempotent;
    record.m_created_at = receipt.m_created_at;
    if (receipt.m_state == ReceiptState::kDone) {
      record.m_kind = ReceiptKind::kResult;
      record.m_reply = receipt.m_reply;
      if (!receipt.m_in_memory) {
        Status decoded;
        const Status read = m_ledgers.Read(
            m_ledger_id, receipt.m_sequence, [&](const LedgerRecord& stored) {
              const Result<ReceiptRecord> found =
                  DecodeReceipt(stored.m_payload);
              if (found) {
                record.m_reply = found->m_reply;
              } else {
                decoded = tl::unexpected<Error>(found.error());
              }
              return false;
            });
        if (!read || !decoded) {
          return tl::unexpected<Error>(read ? decoded.error() : read.error());
        }
      }
      results.push_back(id);
    } else {
      results.emplace_back();
    }
    payloads.push_back(EncodeReceipt(record));
  }
  return payloads;
}

Status ReceiptShard::Compact(const std::string& id,
                             const std::function<Status()>& commit) {
  // Declared before the locks, because the destructor of a writer waits for its
  // threads and must run after the locks are released.
  std::unique_ptr<LedgerWriter> old_writer;
  absl::MutexLock ledger_lock(&m_ledger_mutex);
  std::vector<std::string> ids;
  const Result<std::vector<std::string>> payloads = LiveRecords(ids);
  if (!payloads) {
    return tl::unexpected<Error>(payloads.error());
  }
  Result<std::unique_ptr<LedgerWriter>> writer = m_ledgers.Create(id);
  if (!writer) {
    return tl::unexpected<Error>(writer.error());
  }
  for (size_t at = 0; at < payloads->size(); at += kCompactBatch) {
    const size_t count = std::min(kCompactBatch, payloads->size() - at);
    const Result<uint64_t> appended = (*writer)->Append(
        std::span<const std::string>(*payloads).subspan(at, count));
    if (!appended) {
      return tl::unexpected<Error>(appended.error());
    }
  }
  const Status committed = commit();
  absl::MutexLock lock(&m_mutex);
  if (!committed) {
    m_broken = m_broken || committed.error().m_run == RunState::kUnknown ||
               committed.error().m_code == ResultCode::kConflict;
    return committed;
  }
  for (size_t i = 0; i < ids.size(); ++i) {
    const auto found = m_index.Receipts().find(ids[i]);
    if (!ids[i].empty() && found != m_index.Receipts().end()) {
      found->second.m_sequence = i;
    }
  }
  m_records = payloads->size();
  m_ledger_id = id;
  old_writer = std::exchange(m_writer, std::move(*writer));
  return {};
}

}  // namespace bronzecross
