// Files that callers hand in, each a ledger with a record in the store.

#ifndef BRONZECROSS_BATCH_FILE_STORE_H_
#define BRONZECROSS_BATCH_FILE_STORE_H_

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "batch/input_reader.h"
#include "ledger/ledger.h"
#include "store/kv_client.h"

namespace bronzecross {

// Thread-safe.
class FileStore {
 public:
  FileStore(KvClient& store, LedgerService& ledgers, std::string prefix);

  // Keeps `content` and returns the file object once it is durable.
  Result<nlohmann::json> Create(std::string_view workspace,
                                std::string_view name,
                                std::string_view content);
  // The file object. Fails with kNotFound.
  Result<nlohmann::json> Get(std::string_view workspace, std::string_view id);
  Result<InputFile> Find(std::string_view workspace, std::string_view id);

 private:
  KvClient& m_store;
  LedgerService& m_ledgers;
  const std::string m_prefix;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_FILE_STORE_H_
