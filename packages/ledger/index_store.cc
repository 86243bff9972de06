#include "ledger/index_store.h"

#include "base/log.h"

namespace bronzecross {
namespace {

// The repair and the writer change one record; more conflicts in a row than
// this mean that something else is wrong.
constexpr int kMaxConflicts = 8;

}  // namespace

std::string IndexStore::Key(std::string_view id) const {
  return m_prefix + std::string(id);
}

Result<StoredIndex> IndexStore::Load(std::string_view id) {
  const Result<std::optional<KvEntry>> entry = m_store.Get(Key(id));
  if (!entry) {
    return tl::unexpected<Error>(entry.error());
  }
  if (!*entry) {
    return Fail(ResultCode::kNotFound, "there is no such ledger");
  }
  Result<LedgerIndex> index = ParseLedgerIndex((*entry)->m_value);
  if (!index) {
    return tl::unexpected<Error>(index.error());
  }
  return StoredIndex{std::move(*index), (*entry)->m_mod_revision};
}

Status IndexStore::Save(std::string_view id,
                        const LedgerIndex& index,
                        int64_t revision) {
  const Result<int64_t> saved =
      m_store.Commit({{Key(id), SerializeLedgerIndex(index), revision}});
  return saved ? Status() : tl::unexpected<Error>(saved.error());
}

Result<LedgerIndex> IndexStore::Update(
    std::string_view id,
    const std::function<Status(LedgerIndex&)>& change) {
  for (int i = 0; i < kMaxConflicts; ++i) {
    Result<StoredIndex> stored = Load(id);
    if (!stored) {
      // Nothing was written yet, so nothing can have taken effect.
      Error error = stored.error();
      error.m_run = RunState::kNotRun;
      return tl::unexpected<Error>(std::move(error));
    }
    const Status changed = change(stored->m_index);
    if (!changed) {
      return tl::unexpected<Error>(changed.error());
    }
    const Status saved = Save(id, stored->m_index, stored->m_revision);
    if (saved) {
      return std::move(stored->m_index);
    }
    if (saved.error().m_code != ResultCode::kConflict) {
      return tl::unexpected<Error>(saved.error());
    }
  }
  return Fail(ResultCode::kConflict, "the ledger's record keeps changing");
}

Status IndexStore::Remove(std::string_view id, int64_t revision) {
  const Result<int64_t> removed =
      m_store.Commit({{Key(id), "", revision, 0, true}});
  return removed ? Status() : tl::unexpected<Error>(removed.error());
}

Result<std::vector<std::pair<std::string, LedgerIndex>>> IndexStore::List() {
  const Result<KvRange> range = m_store.List(m_prefix);
  if (!range) {
    return tl::unexpected<Error>(range.error());
  }
  std::vector<std::pair<std::string, LedgerIndex>> ledgers;
  for (const KvEntry& entry : range->m_entries) {
    Result<LedgerIndex> index = ParseLedgerIndex(entry.m_value);
    if (index) {
      ledgers.emplace_back(entry.m_key.substr(m_prefix.size()),
                           std::move(*index));
    } else {
      LogError(Severity::kError, LogPart::kLedger,
               "Cannot read a ledger's record.", index.error());
    }
  }
  return ledgers;
}

}  // namespace bronzecross
