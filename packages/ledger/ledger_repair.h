// Restores the copies of closed segments: damaged or short ones on this VM, and
// those of lost VMs that this VM is to replace. Also removes files that no
// record names any more.

#ifndef BRONZECROSS_LEDGER_LEDGER_REPAIR_H_
#define BRONZECROSS_LEDGER_LEDGER_REPAIR_H_

#include <map>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "ledger/copy_store.h"
#include "ledger/replicated_writer.h"

namespace bronzecross {

class LedgerRepair {
 public:
  LedgerRepair(LedgerParts parts, CopyStore& copies);
  ~LedgerRepair();

  void Start();
  void Stop();

 private:
  using Ledgers = std::vector<std::pair<std::string, LedgerIndex>>;

  void Run();
  void Scan();
  // Returns the VM whose copy this VM should take over ("" to add a copy), or
  // nothing.
  std::optional<std::string> FindReplaced(const std::string& id,
                                          const LedgerSegment& segment);
  void RestoreOwn(const std::string& id, const LedgerSegment& segment);
  void Replace(const std::string& id,
               const LedgerSegment& segment,
               const std::string& lost);
  // Fetches what this VM lacks of the closed `segment` from its other copies.
  Status Fetch(const std::string& id, const LedgerSegment& segment);
  Result<CopyChunk> FetchChunk(const std::string& id,
                               const LedgerSegment& segment,
                               uint64_t at);
  void RemoveStrays(const Ledgers& ledgers);
  bool WaitStopped(Millis duration);

  const LedgerParts m_parts;
  CopyStore& m_copies;
  const std::string m_own;
  // Used by the repair's thread only: when each VM was last live.
  std::map<std::string, Millis> m_last_live;
  Millis m_started;
  absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::thread m_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_LEDGER_REPAIR_H_
