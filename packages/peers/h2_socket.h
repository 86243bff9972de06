// Transfers data between a non-blocking socket and an HTTP/2 session on one
// thread, until either is closed.

#ifndef BRONZECROSS_PEERS_H2_SOCKET_H_
#define BRONZECROSS_PEERS_H2_SOCKET_H_

#include <functional>
#include <string>

struct nghttp2_session;

namespace bronzecross {

class H2Socket {
 public:
  // Takes ownership of `fd`.
  explicit H2Socket(int fd);
  ~H2Socket();
  H2Socket(const H2Socket&) = delete;
  H2Socket& operator=(const H2Socket&) = delete;

  // Runs until the connection or the session ends, or Stop() is called. Calls
  // `on_wake` on the same thread before each wait for socket events.
  void Run(nghttp2_session* session, const std::function<void()>& on_wake);

  // Makes Run() call `on_wake`. Thread-safe.
  void Wake();
  // Shuts down the connection and makes Run() return. Thread-safe.
  void Stop();

 private:
  bool Flush(nghttp2_session* session);
  bool Receive(nghttp2_session* session);

  const int m_fd;
  const int m_wake_fd;
  std::string m_send_buffer;
  size_t m_sent = 0;
};

// Returns the number of bytes sent and received by all peer connections of this
// process.
int64_t PeerBytesTotal();

}  // namespace bronzecross

#endif  // BRONZECROSS_PEERS_H2_SOCKET_H_
