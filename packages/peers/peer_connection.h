// Client side of one connection to another VM. Calls from many threads are
// multiplexed over it, each on its own HTTP/2 stream.

#ifndef BRONZECROSS_PEERS_PEER_CONNECTION_H_
#define BRONZECROSS_PEERS_PEER_CONNECTION_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "base/error.h"
#include "base/net_address.h"
#include "peers/h2_socket.h"

namespace bronzecross {

class PeerConnection {
 public:
  explicit PeerConnection(NetAddress address);
  // Fails all pending calls.
  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  Result<std::string> Call(std::string_view method,
                           std::string body,
                           Millis timeout);

  // Returns true after the connection has failed; all further calls fail then.
  bool IsBroken() const;

 private:
  struct PendingCall;
  struct Callbacks;
  friend struct Callbacks;

  void Run();
  void SubmitQueued();
  void SubmitCall(const std::shared_ptr<PendingCall>& call);
  void Finish(PendingCall& call, Result<std::string> result);
  void FailAll();

  const NetAddress m_address;
  mutable absl::Mutex m_mutex;
  std::vector<std::shared_ptr<PendingCall>> m_queued ABSL_GUARDED_BY(m_mutex);
  std::unique_ptr<H2Socket> m_socket ABSL_GUARDED_BY(m_mutex);
  bool m_broken ABSL_GUARDED_BY(m_mutex) = false;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  // The next two members are used by the connection's thread only.
  nghttp2_session* m_session = nullptr;
  std::map<int32_t, std::shared_ptr<PendingCall>> m_streams;
  std::thread m_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_PEERS_PEER_CONNECTION_H_
