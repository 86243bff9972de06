// A VM inside the test program that writes and reads ledgers whose copies lie
// on a cluster's daemons. It is not in the list of VMs and holds no copies.

#ifndef BRONZECROSS_TESTS_HARNESS_LEDGER_VM_H_
#define BRONZECROSS_TESTS_HARNESS_LEDGER_VM_H_

#include <string>

#include "harness/cluster.h"
#include "ledger/replicated_ledger.h"

namespace bronzecross {

class LedgerVm {
 public:
  // Returns once it sees all VMs of `cluster` as live. With a `store_url` it
  // reaches the store there.
  LedgerVm(Cluster& cluster,
           const std::string& id,
           const std::string& store_url = "");
  ~LedgerVm();

  ReplicatedLedger& Ledger() { return m_ledger; }
  Membership& Members() { return m_membership; }
  MetadataStore& Indexes() { return m_indexes; }

 private:
  KvClient m_store;
  MetadataStore m_indexes;
  PeerServer m_server;
  PeerClient m_client;
  Membership m_membership;
  ReplicatedLedger m_ledger;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_HARNESS_LEDGER_VM_H_
