// Reads and changes the store's records of ledgers.

#ifndef BRONZECROSS_LEDGER_INDEX_STORE_H_
#define BRONZECROSS_LEDGER_INDEX_STORE_H_

#include <functional>
#include <string>
#include <string_view>

#include "ledger/ledger_index.h"
#include "store/kv_client.h"

namespace bronzecross {

struct StoredIndex {
  LedgerIndex m_index;
  int64_t m_revision = 0;
};

// Thread-safe.
class IndexStore {
 public:
  IndexStore(KvClient& store, std::string prefix)
      : m_store(store), m_prefix(std::move(prefix)) {}

  // Fails with kNotFound, kCorrupt or kStoreUnavailable.
  Result<StoredIndex> Load(std::string_view id);

  // Fails with kConflict if the record has changed since `revision` (0: it must
  // not exist), or kStoreUnavailable, with run state kUnknown if the write may
  // have taken effect.
  Status Save(std::string_view id, const LedgerIndex& index, int64_t revision);

  // Applies `change` to the record until it is saved without a conflict. A
  // change must be harmless when it is applied to a record that holds it
  // already. Fails with the error of `change`, or as Load() and Save() do.
  Result<LedgerIndex> Update(std::string_view id,
                             const std::function<Status(LedgerIndex&)>& change);

  Status Remove(std::string_view id, int64_t revision);

  // Ids and records of all ledgers; damaged records are left out.
  Result<std::vector<std::pair<std::string, LedgerIndex>>> List();

 private:
  std::string Key(std::string_view id) const;

  KvClient& m_store;
  const std::string m_prefix;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_INDEX_STORE_H_
