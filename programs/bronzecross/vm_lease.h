// Keeps this VM's lease in the store and the VM's record attached to it.

#ifndef BRONZECROSS_PROGRAMS_BRONZECROSS_VM_LEASE_H_
#define BRONZECROSS_PROGRAMS_BRONZECROSS_VM_LEASE_H_

#include <string>
#include <thread>

#include <absl/synchronization/mutex.h>

#include "store/kv_client.h"

namespace bronzecross {

class VmLease {
 public:
  VmLease(KvClient& store, std::string key, std::string record, Millis ttl);
  ~VmLease();

  void Start();
  // Revokes the lease, so that other VMs need not wait for it to expire.
  void Stop();

  // Returns the lease; its id is 0 if there is none. The VM's record exists in
  // the store as long as the lease is valid.
  KvLease Current() const;
  // Returns whether the lease is still valid by this VM's own clock.
  bool IsHeld() const;
  // Returns when the lease expires by this VM's own clock; zero if there is
  // none.
  Millis Expires() const;

 private:
  void Run();
  Status Renew();

  KvClient& m_store;
  const std::string m_key;
  const std::string m_record;
  const Millis m_ttl;
  mutable absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  KvLease m_lease ABSL_GUARDED_BY(m_mutex);
  std::thread m_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_PROGRAMS_BRONZECROSS_VM_LEASE_H_
