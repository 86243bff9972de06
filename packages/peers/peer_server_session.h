// Server side of one peer connection: receives requests, runs or queues their
// handlers and sends the replies.

#ifndef BRONZECROSS_PEERS_PEER_SERVER_SESSION_H_
#define BRONZECROSS_PEERS_PEER_SERVER_SESSION_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "peers/h2_socket.h"
#include "peers/peer_server.h"

namespace bronzecross {

class PeerServerSession
    : public std::enable_shared_from_this<PeerServerSession> {
 public:
  PeerServerSession(PeerServer& server, int fd);

  // Runs until the connection is closed.
  void Run();
  void Stop() { m_socket.Stop(); }

 private:
  struct Request {
    std::string m_path;
    int64_t m_deadline_ms = 0;
    std::string m_body;
  };
  struct Reply {
    int32_t m_stream = 0;
    Result<std::string> m_result;
  };
  struct OutgoingBody {
    std::string m_body;
    size_t m_offset = 0;
  };
  struct Callbacks;
  friend struct Callbacks;

  void Dispatch(int32_t stream, Request request);
  void QueueReply(int32_t stream, Result<std::string> result);
  void SubmitReplies();
  void SubmitReply(Reply reply);

  PeerServer& m_server;
  H2Socket m_socket;
  // The next three members are used by the connection's thread only.
  nghttp2_session* m_session = nullptr;
  std::map<int32_t, Request> m_requests;
  std::map<int32_t, std::unique_ptr<OutgoingBody>> m_outgoing_bodies;
  absl::Mutex m_mutex;
  std::vector<Reply> m_replies ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_PEERS_PEER_SERVER_SESSION_H_
