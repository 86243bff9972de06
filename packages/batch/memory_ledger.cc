#include "batch/memory_ledger.h"

#include <algorithm>

namespace bronzecross {

class MemoryLedgers::Writer : public LedgerWriter {
 public:
  Writer(MemoryLedgers& ledgers, std::string id, uint64_t epoch)
      : m_ledgers(ledgers), m_id(std::move(id)), m_epoch(epoch) {}

  Result<uint64_t> Append(std::span<const std::string> payloads) override {
    absl::MutexLock lock(&m_ledgers.m_mutex);
    Ledger& ledger = m_ledgers.m_ledgers[m_id];
    if (ledger.m_epoch != m_epoch || ledger.m_sealed) {
      return Fail(ResultCode::kFenced, "a newer writer has taken over");
    }
    const uint64_t first = ledger.m_records.size();
    for (const std::string& payload : payloads) {
      ledger.m_records.push_back({ledger.m_records.size(), m_epoch, payload});
    }
    if (std::exchange(m_ledgers.m_lose_next_reply, false)) {
      return Fail(ResultCode::kTooFewCopies, "the reply was lost");
    }
    return first;
  }

  Status Seal() override {
    absl::MutexLock lock(&m_ledgers.m_mutex);
    m_ledgers.m_ledgers[m_id].m_sealed = true;
    return {};
  }

  uint64_t Epoch() const override { return m_epoch; }

  uint64_t NextSequence() const override {
    absl::MutexLock lock(&m_ledgers.m_mutex);
    return m_ledgers.m_ledgers[m_id].m_records.size();
  }

 private:
  MemoryLedgers& m_ledgers;
  const std::string m_id;
  const uint64_t m_epoch;
};

Result<std::unique_ptr<LedgerWriter>> MemoryLedgers::Create(
    std::string_view id) {
  absl::MutexLock lock(&m_mutex);
  if (!m_ledgers.try_emplace(std::string(id)).second) {
    return Fail(ResultCode::kConflict, "the ledger already exists");
  }
  return std::make_unique<Writer>(*this, std::string(id), 1);
}

Result<std::unique_ptr<LedgerWriter>> MemoryLedgers::TakeOver(
    std::string_view id) {
  absl::MutexLock lock(&m_mutex);
  const auto found = m_ledgers.find(id);
  if (found == m_ledgers.end()) {
    return Fail(ResultCode::kNotFound, "there is no such ledger");
  }
  return std::make_unique<Writer>(*this, std::string(id),
                                  ++found->second.m_epoch);
}

Status MemoryLedgers::Read(std::string_view id,
                           uint64_t first,
                           const LedgerVisitor& visit) {
  std::vector<LedgerRecord> records;
  {
    absl::MutexLock lock(&m_mutex);
    const auto found = m_ledgers.find(id);
    if (found == m_ledgers.end()) {
      return Fail(ResultCode::kNotFound, "there is no such ledger");
    }
    records = found->second.m_records;
  }
  for (uint64_t i = first; i < records.size(); ++i) {
    if (!visit(records[i])) {
      break;
    }
  }
  return {};
}

Status MemoryLedgers::Delete(std::string_view id) {
  absl::MutexLock lock(&m_mutex);
  m_ledgers.erase(std::string(id));
  return {};
}

void MemoryLedgers::LoseNextReply() {
  absl::MutexLock lock(&m_mutex);
  m_lose_next_reply = true;
}

}  // namespace bronzecross
