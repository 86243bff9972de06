// Restores copies of closed segments: damaged or incomplete ones on this VM,
// and those of lost VMs that this VM replaces. Also removes files that the
// metadata of no ledger references any more.

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
  LedgerRepair(LedgerDependencies dependencies, CopyStore& copies);
  ~LedgerRepair();

  void Start();
  void Stop();

 private:
  using Ledgers = std::vector<std::pair<std::string, LedgerMetadata>>;

  void Run();
  void Scan();
  // Returns the VM whose copy this VM should replace ("" to add a copy), or
  // std::nullopt.
  std::optional<std::string> FindCopyToReplace(const std::string& id,
                                               const LedgerSegment& segment);
  void RestoreOwnCopy(const std::string& id, const LedgerSegment& segment);
  void ReplaceCopy(const std::string& id,
                   const LedgerSegment& segment,
                   const std::string& lost);
  // Fetches the records of the closed `segment` that are missing on this VM
  // from the other copies.
  Status FetchSegment(const std::string& id, const LedgerSegment& segment);
  Result<CopyChunk> FetchChunk(const std::string& id,
                               const LedgerSegment& segment,
                               uint64_t sequence);
  void RemoveUnreferencedCopies(const Ledgers& ledgers);
  bool WaitForStop(Millis duration);

  const LedgerDependencies m_dependencies;
  CopyStore& m_copies;
  const std::string m_own_id;
  // Time when each VM was last live. Used by the repair thread only.
  std::map<std::string, Millis> m_last_seen_live;
  Millis m_start_time;
  absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::thread m_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_LEDGER_REPAIR_H_
