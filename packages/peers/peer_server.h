// Accepts connections from other VMs and answers their requests.

#ifndef BRONZECROSS_PEERS_PEER_SERVER_H_
#define BRONZECROSS_PEERS_PEER_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <thread>

#include <absl/synchronization/mutex.h>

#include "base/error.h"
#include "base/net_address.h"
#include "peers/worker_pool.h"

namespace bronzecross {

// Answers one request. `body` is MessagePack; `deadline` is on the monotonic
// clock of this VM.
using PeerHandler =
    std::function<Result<std::string>(std::string_view body, Millis deadline)>;

enum class PeerDispatch {
  kOnConnection,  // short, never blocks
  kOnWorker,      // may block on upstreams or other VMs
  kOnDisk,        // blocks on this VM's disk only, never on another VM
};

class PeerServer {
 public:
  explicit PeerServer(NetAddress address);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  // Call before Start().
  void Register(std::string_view method,
                PeerDispatch dispatch,
                PeerHandler handler);

  Status Start();
  void Stop();
  const NetAddress& Address() const { return m_bound; }

 private:
  friend class PeerServerSession;
  struct Method {
    PeerDispatch m_dispatch;
    PeerHandler m_handler;
  };
  struct Connection;

  void Accept();
  const Method* FindMethod(std::string_view name) const;

  const NetAddress m_address;
  NetAddress m_bound;
  int m_listen_fd = -1;
  std::map<std::string, Method, std::less<>> m_methods;
  std::thread m_accept_thread;
  absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::set<std::unique_ptr<Connection>> m_connections ABSL_GUARDED_BY(m_mutex);
  std::unique_ptr<WorkerPool> m_workers;
  // Apart from m_workers, whose threads may all be waiting for the disk of
  // another VM that waits for this one's.
  std::unique_ptr<WorkerPool> m_disk_workers;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_PEERS_PEER_SERVER_H_
