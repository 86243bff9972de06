#include "ledger/metadata_store.h"

#include "base/log.h"

namespace bronzecross {
namespace {

// Writers and LedgerRepair update the same metadata, so single conflicts are
// normal. More of them in a row than this indicate a fault.
constexpr int kMaxConflicts = 8;

}  // namespace

std::string MetadataStore::Key(std::string_view id) const {
  return m_prefix + std::string(id);
}

Result<StoredMetadata> MetadataStore::Load(std::string_view id) {
  const Result<std::optional<KvEntry>> entry = m_store.Get(Key(id));
  if (!entry) {
    return tl::unexpected<Error>(entry.error());
  }
  if (!*entry) {
    return Fail(ResultCode::kNotFound, "the ledger does not exist");
  }
  Result<LedgerMetadata> metadata = ParseLedgerMetadata((*entry)->m_value);
  if (!metadata) {
    return tl::unexpected<Error>(metadata.error());
  }
  return StoredMetadata{std::move(*metadata), (*entry)->m_mod_revision};
}

Status MetadataStore::Save(std::string_view id,
                           const LedgerMetadata& metadata,
                           int64_t revision) {
  const Result<int64_t> saved =
      m_store.Commit({{Key(id), SerializeLedgerMetadata(metadata), revision}});
  return saved ? Status() : tl::unexpected<Error>(saved.error());
}

Result<LedgerMetadata> MetadataStore::Update(
    std::string_view id,
    const std::function<Status(LedgerMetadata&)>& change) {
  for (int i = 0; i < kMaxConflicts; ++i) {
    Result<StoredMetadata> stored = Load(id);
    if (!stored) {
      // Nothing was written yet, so the update has not taken effect.
      Error error = stored.error();
      error.m_run = RunState::kNotRun;
      return tl::unexpected<Error>(std::move(error));
    }
    const Status changed = change(stored->m_metadata);
    if (!changed) {
      return tl::unexpected<Error>(changed.error());
    }
    const Status saved = Save(id, stored->m_metadata, stored->m_revision);
    if (saved) {
      return std::move(stored->m_metadata);
    }
    if (saved.error().m_code != ResultCode::kConflict) {
      return tl::unexpected<Error>(saved.error());
    }
  }
  return Fail(ResultCode::kConflict,
              "too many conflicting updates of the ledger's metadata");
}

Status MetadataStore::Remove(std::string_view id, int64_t revision) {
  const Result<int64_t> removed =
      m_store.Commit({{Key(id), "", revision, 0, true}});
  return removed ? Status() : tl::unexpected<Error>(removed.error());
}

Result<std::vector<std::pair<std::string, LedgerMetadata>>>
MetadataStore::List() {
  const Result<KvRange> range = m_store.List(m_prefix);
  if (!range) {
    return tl::unexpected<Error>(range.error());
  }
  std::vector<std::pair<std::string, LedgerMetadata>> ledgers;
  for (const KvEntry& entry : range->m_entries) {
    Result<LedgerMetadata> metadata = ParseLedgerMetadata(entry.m_value);
    if (metadata) {
      ledgers.emplace_back(entry.m_key.substr(m_prefix.size()),
                           std::move(*metadata));
    } else {
      LogError(Severity::kError, LogPart::kLedger,
               "Cannot parse the metadata of a ledger.", metadata.error());
    }
  }
  return ledgers;
}

}  // namespace bronzecross
