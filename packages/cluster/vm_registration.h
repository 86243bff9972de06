// Keeps this VM registered in the key-value service under a lease.

#ifndef BRONZECROSS_CLUSTER_VM_REGISTRATION_H_
#define BRONZECROSS_CLUSTER_VM_REGISTRATION_H_

#include "cluster/vm_record.h"
#include "kv/kv_session.h"

namespace bronzecross {

// TTL of the lease in a fleet of `vms`, which is how long the registration of a
// dead VM stays. It is short because the VM's share of the limits and its jobs
// are taken over only after that, and longer in a large fleet because each
// renewal is a write to a single service.
Millis RegistrationTtl(int vms);

// Pause before the next renewal after `failures` failed attempts in a row. It
// backs off exponentially, up to a limit that is higher in a large fleet: while
// the service is unreachable, all VMs retry, and each attempt is priced.
Millis RenewalRetryPause(int failures, int vms);

// Returns whether a lease with the given TTL, granted `age` ago, should be
// replaced by one that suits a fleet of `vms`.
bool ShouldReplaceLease(Millis ttl, Millis age, int vms);

class VmRegistration {
 public:
  VmRegistration(KvSession& kv, VmRecord self)
      : m_kv(kv), m_self(std::move(self)) {}

  // Runs until the process ends.
  Task<> Run();
  // Ends the lease, so that the other VMs don't have to wait for it to expire.
  Task<> End();

  // Sets the size of the fleet, which determines the TTL of the lease. After a
  // large change the lease is replaced, see ShouldReplaceLease(). The first
  // lease waits a short time for this call.
  void SetFleetSize(int vms);

  // Whether the lease has certainly not expired. Uses a clock that also
  // advances while the VM is suspended.
  bool IsLeaseHeld() const;

 private:
  // Each performs one step and returns whether it succeeded.
  Task<bool> Grant();
  Task<bool> Write();
  Task<bool> Renew();
  // Moves the record to a new lease with a suitable TTL.
  Task<bool> Replace();

  KvSession& m_kv;
  VmRecord m_self;
  int m_fleet_size = 0;  // 0: not known yet
  Condition m_size_known;
  Millis m_ttl;
  int64_t m_lease = 0;     // 0: none
  bool m_written = false;  // whether the record is stored under m_lease
  Millis m_held_until;     // in terms of BootNow()
  Millis m_granted_at;
  bool m_ended = false;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_CLUSTER_VM_REGISTRATION_H_
