// Reads and updates the metadata of ledgers in the store.

#ifndef BRONZECROSS_LEDGER_METADATA_STORE_H_
#define BRONZECROSS_LEDGER_METADATA_STORE_H_

#include <functional>
#include <string>
#include <string_view>

#include "ledger/ledger_metadata.h"
#include "store/kv_client.h"

namespace bronzecross {

struct StoredMetadata {
  LedgerMetadata m_metadata;
  int64_t m_revision = 0;
};

// Thread-safe.
class MetadataStore {
 public:
  MetadataStore(KvClient& store, std::string prefix)
      : m_store(store), m_prefix(std::move(prefix)) {}

  // Fails with kNotFound, kCorrupt or kStoreUnavailable.
  Result<StoredMetadata> Load(std::string_view id);

  // Fails with kConflict if the value has changed since `revision` (0: it must
  // not exist), or kStoreUnavailable, with run state kUnknown if the write may
  // have taken effect.
  Status Save(std::string_view id,
              const LedgerMetadata& metadata,
              int64_t revision);

  // Applies `change` to the metadata until it is saved without a conflict. The
  // change must be idempotent, as it may be applied to metadata that contains
  // it already. Fails with the error of `change`, or as Load() and Save() do.
  Result<LedgerMetadata> Update(
      std::string_view id,
      const std::function<Status(LedgerMetadata&)>& change);

  Status Remove(std::string_view id, int64_t revision);

  // Returns the ids and metadata of all ledgers; omits damaged metadata.
  Result<std::vector<std::pair<std::string, LedgerMetadata>>> List();

 private:
  std::string Key(std::string_view id) const;

  KvClient& m_store;
  const std::string m_prefix;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_METADATA_STORE_H_
