// This VM's lease in the store, under which its record stands.

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
  // Gives the lease up, so that others need not wait for its end.
  void Stop();

  // The lease; id 0: none. Its record stands in the store while it holds.
  KvLease Current() const;
  // Whether the lease holds, by this VM's own clock.
  bool IsHeld() const;
  // The end of the lease by this VM's own clock; zero if there is none.
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
