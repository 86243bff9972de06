// In-memory LedgerService with the same fencing, for unit tests.

#ifndef BRONZECROSS_BATCH_MEMORY_LEDGER_H_
#define BRONZECROSS_BATCH_MEMORY_LEDGER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "ledger/ledger.h"

namespace bronzecross {

class MemoryLedgers : public LedgerService {
 public:
  Result<std::unique_ptr<LedgerWriter>> Create(std::string_view id) override;
  Result<std::unique_ptr<LedgerWriter>> TakeOver(std::string_view id) override;
  Status Read(std::string_view id,
              uint64_t first,
              const LedgerVisitor& visit) override;
  Status Delete(std::string_view id) override;

  // Makes the next append fail with kTooFewCopies although it takes effect.
  void LoseNextReply();

 private:
  struct Ledger {
    uint64_t m_epoch = 1;
    bool m_sealed = false;
    std::vector<LedgerRecord> m_records;
  };
  class Writer;

  absl::Mutex m_mutex;
  std::map<std::string, Ledger, std::less<>> m_ledgers ABSL_GUARDED_BY(m_mutex);
  bool m_lose_next_reply ABSL_GUARDED_BY(m_mutex) = false;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_MEMORY_LEDGER_H_
