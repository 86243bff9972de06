// Keeps this VM registered in the key-value service under a lease.

#ifndef BRONZECROSS_CLUSTER_VM_REGISTRATION_H_
#define BRONZECROSS_CLUSTER_VM_REGISTRATION_H_

#include "cluster/vm_record.h"
#include "kv/kv_session.h"

namespace bronzecross {

// How long the registration of a VM that died stays in a fleet of `vms`: short,
// since its part of the limits and its jobs wait for that, and longer in a
// large fleet, since each renewal is a write to the one service.
Millis RegistrationTtl(int vms);

// Pause before the next attempt to renew after `failures` failed ones in a row.
// It grows, and in a large fleet grows longer: while the service is away, all
// VMs make such attempts, and each is priced.
Millis RenewalRetryPause(int failures, int vms);

class VmRegistration {
 public:
  VmRegistration(KvSession& kv, VmRecord self)
      : m_kv(kv), m_self(std::move(self)) {}

  // Runs until the process ends.
  Task<> Run();
  // Ends the lease, so that the others need not wait for it.
  Task<> End();

  // The lease follows the size of the fleet, once it has changed a lot at a
  // later renewal. The first one waits a moment for it.
  void SetFleetSize(int vms);

  // Whether the lease is known to hold. Counted in time that also passes while
  // the VM is suspended.
  bool IsLeaseHeld() const;

 private:
  // Each is one step and tells whether it succeeded.
  Task<bool> Grant();
  Task<bool> Write();
  Task<bool> Renew();
  // Moves the record to a lease of another length.
  Task<bool> Replace();
  bool IsTtlOutdated() const;

  KvSession& m_kv;
  VmRecord m_self;
  int m_fleet_size = 0;  // 0: not known yet
  Condition m_size_known;
  Millis m_ttl;
  int64_t m_lease = 0;     // 0: none
  bool m_written = false;  // the record, under this lease
  Millis m_held_until;     // on the clock of BootNow()
  bool m_ended = false;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_CLUSTER_VM_REGISTRATION_H_
