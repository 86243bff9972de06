// Settings of the ledger service on one VM.

#ifndef BRONZECROSS_LEDGER_LEDGER_OPTIONS_H_
#define BRONZECROSS_LEDGER_LEDGER_OPTIONS_H_

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace bronzecross {

struct LedgerOptions {
  // Prefix of the store keys, followed by the ledger's id.
  std::string m_prefix = "/bronzecross/ledgers/";
  // Folder for copies; if empty, this VM stores none.
  std::string m_data_dir;
  int64_t m_data_max_bytes = 0;
  // A copy that takes longer to reply is replaced.
  Millis m_copy_timeout{2000};
  // An append that is not acknowledged within this time fails.
  Millis m_append_timeout{8000};
  // Maximum rate at which this VM fetches records to restore lost copies.
  int64_t m_repair_bytes_per_s = 8 << 20;
  Millis m_repair_interval{5000};
  // Copies on a VM that was unresponsive for this time are replaced.
  Millis m_repair_after{30'000};
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_LEDGER_OPTIONS_H_
