// Callers whose requests must run at most once.

#ifndef BRONZECROSS_TESTS_PROMISES_RECEIPT_LOAD_H_
#define BRONZECROSS_TESTS_PROMISES_RECEIPT_LOAD_H_

#include <atomic>
#include <map>
#include <string>

#include <absl/synchronization/mutex.h>

#include "harness/cluster.h"
#include "promises/history.h"

namespace bronzecross {

// What callers know of one receipt.
struct ReceiptFate {
  // The whole answer that a caller got, or empty.
  std::string m_answer;
  // Every attempt so far was refused as not run.
  bool m_only_not_run = true;
};

struct ReceiptLoad {
  Cluster& m_cluster;
  History& m_history;
  const std::atomic<bool>& m_stopping;
  uint64_t m_seed = 1;
};

// Sends receipts with an Idempotency-Key, each again through other VMs until it
// has an answer or the load stops.
std::map<std::string, ReceiptFate> RunReceiptCaller(const ReceiptLoad& load);

// After all faults have ended: no receipt ran twice, those with an answer are
// still readable with the same answer, and one that was only refused as not run
// did not run.
void CheckReceipts(Cluster& cluster,
                   History& history,
                   const std::map<std::string, ReceiptFate>& fates);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_PROMISES_RECEIPT_LOAD_H_
