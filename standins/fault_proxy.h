// A TCP proxy on one machine that injects faults: delay, refused and cut
// connections, cuts in mid-body, one-way and full partitions, answers lost
// after their effect.

#ifndef BRONZECROSS_STANDINS_FAULT_PROXY_H_
#define BRONZECROSS_STANDINS_FAULT_PROXY_H_

#include <atomic>
#include <memory>
#include <set>
#include <thread>

#include <absl/synchronization/mutex.h>

#include "base/net_address.h"

namespace bronzecross {

struct ProxyFaults {
  // Added to each piece of data, in each direction.
  Millis m_delay;
  // New connections are closed at once.
  bool m_refuse = false;
  // Bytes towards the server, or back, are swallowed; connections stay open,
  // and pass on nothing more in that direction.
  bool m_drop_forward = false;
  bool m_drop_backward = false;
  // Each connection is cut after so many bytes of answer; 0: never.
  int64_t m_cut_after_bytes = 0;
};

class FaultProxy {
 public:
  explicit FaultProxy(NetAddress target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  const NetAddress& Address() const { return m_address; }
  std::string Url() const { return "http://" + m_address.ToString(); }
  void SetTarget(const NetAddress& target);
  void SetFaults(const ProxyFaults& faults);
  // Cuts all open connections.
  void CutAll();

 private:
  struct Connection;

  void Accept();
  void Serve(Connection& connection);
  ProxyFaults Faults();

  NetAddress m_address;
  int m_listen_fd = -1;
  absl::Mutex m_mutex;
  NetAddress m_target ABSL_GUARDED_BY(m_mutex);
  ProxyFaults m_faults ABSL_GUARDED_BY(m_mutex);
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::set<std::unique_ptr<Connection>> m_connections ABSL_GUARDED_BY(m_mutex);
  std::thread m_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_STANDINS_FAULT_PROXY_H_
