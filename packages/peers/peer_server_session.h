// The server side of one peer connection: collects requests, runs or queues
// their handlers and sends the answers.

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

  // Runs until the connection ends.
  void Run();
  void Stop() { m_socket.Stop(); }

 private:
  struct Request {
    std::string m_path;
    int64_t m_deadline_ms = 0;
    std::string m_body;
  };
  struct Answer {
    int32_t m_stream = 0;
    Result<std::string> m_result;
  };
  struct Outgoing {
    std::string m_body;
    size_t m_offset = 0;
  };
  struct Callbacks;
  friend struct Callbacks;

  void Dispatch(int32_t stream, Request request);
  void QueueAnswer(int32_t stream, Result<std::string> result);
  void SubmitAnswers();
  void SubmitAnswer(Answer answer);

  PeerServer& m_server;
  H2Socket m_socket;
  // The next three are used by the connection's thread only.
  nghttp2_session* m_session = nullptr;
  std::map<int32_t, Request> m_requests;
  std::map<int32_t, std::unique_ptr<Outgoing>> m_outgoing;
  absl::Mutex m_mutex;
  std::vector<Answer> m_answers ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_PEERS_PEER_SERVER_SESSION_H_
