// The settings of the ledger on one VM.

#ifndef BRONZECROSS_LEDGER_LEDGER_OPTIONS_H_
#define BRONZECROSS_LEDGER_LEDGER_OPTIONS_H_

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace bronzecross {

struct LedgerOptions {
  // Store keys are this followed by the ledger's id.
  std::string m_prefix = "/bronzecross/ledgers/";
  // The folder for copies; empty: this VM holds none.
  std::string m_data_dir;
  int64_t m_data_max_bytes = 0;
  // A copy that takes longer to answer is replaced.
  Millis m_copy_timeout{2000};
  // An append that is not acknowledged for so long fails.
  Millis m_append_timeout{8000};
  // Bytes per second that this VM fetches to restore lost copies.
  int64_t m_repair_bytes_per_s = 8 << 20;
  Millis m_repair_interval{5000};
  // How long a VM is silent before its copies count as lost.
  Millis m_repair_after{30'000};
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_LEDGER_OPTIONS_H_
