// Accepts connections from other VMs and handles their requests.

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

// Handles one request and returns the body of the reply. `body` is MessagePack;
// `deadline` is a time on the monotonic clock of this VM.
using PeerHandler =
    std::function<Result<std::string>(std::string_view body, Millis deadline)>;

// Thread that runs the handler of a method.
enum class PeerDispatch {
  kOnConnection,  // must be short and never block
  kOnWorker,      // may block on upstreams or other VMs
  kOnDiskWorker,  // may block on this VM's disk, never on another VM
};

class PeerServer {
 public:
  explicit PeerServer(NetAddress address);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  // Must be called before Start().
  void Register(std::string_view method,
                PeerDispatch dispatch,
                PeerHandler handler);

  Status Start();
  void Stop();
  const NetAddress& Address() const { return m_bound_address; }

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
  NetAddress m_bound_address;
  int m_listen_fd = -1;
  std::map<std::string, Method, std::less<>> m_methods;
  std::thread m_accept_thread;
  absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::set<std::unique_ptr<Connection>> m_connections ABSL_GUARDED_BY(m_mutex);
  std::unique_ptr<WorkerPool> m_workers;
  // Separate from m_workers to prevent a deadlock: the threads of m_workers on
  // two VMs may all be waiting for each other's disk requests.
  std::unique_ptr<WorkerPool> m_disk_workers;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_PEERS_PEER_SERVER_H_
