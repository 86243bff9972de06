// Moves bytes between a non-blocking socket and an HTTP/2 session, on one
// thread, until either ends.

#ifndef BRONZECROSS_PEERS_H2_SOCKET_H_
#define BRONZECROSS_PEERS_H2_SOCKET_H_

#include <functional>
#include <string>

struct nghttp2_session;

namespace bronzecross {

class H2Socket {
 public:
  // Takes over `fd`.
  explicit H2Socket(int fd);
  ~H2Socket();
  H2Socket(const H2Socket&) = delete;
  H2Socket& operator=(const H2Socket&) = delete;

  // Runs until the connection or the session ends or Stop() is called.
  // `on_wake` runs on this thread before each wait.
  void Run(nghttp2_session* session, const std::function<void()>& on_wake);

  // Make Run() call `on_wake` soon, or return. Thread-safe.
  void Wake();
  void Stop();

 private:
  bool Flush(nghttp2_session* session);
  bool Receive(nghttp2_session* session);

  const int m_fd;
  const int m_wake_fd;
  std::string m_unsent;
  size_t m_sent = 0;
};

// Bytes sent and received by all peer connections of this process.
int64_t PeerBytesTotal();

}  // namespace bronzecross

#endif  // BRONZECROSS_PEERS_H2_SOCKET_H_
