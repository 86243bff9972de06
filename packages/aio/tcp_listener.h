// A listening TCP socket on the event loop.

#ifndef BRONZECROSS_AIO_TCP_LISTENER_H_
#define BRONZECROSS_AIO_TCP_LISTENER_H_

#include <functional>
#include <memory>

#include "aio/event_loop.h"
#include "aio/tcp_stream.h"
#include "base/net_address.h"

namespace bronzecross {

class TcpListener : public IoTarget {
 public:
  using Acceptor = std::function<void(std::unique_ptr<TcpStream>)>;

  // Calls `acceptor` for each new connection.
  static Result<std::unique_ptr<TcpListener>> Open(const NetAddress& address,
                                                   Acceptor acceptor);
  ~TcpListener() override;

  // Hands out the connections that are complete. To be called before the end,
  // which resets those that are left.
  void AcceptPending() { OnReady(IoReadiness()); }
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // The address with the port that the system handed out for port 0.
  const NetAddress& GetAddress() const { return m_address; }

  void OnReady(IoReadiness readiness) override;

 private:
  TcpListener(int fd, NetAddress address, Acceptor acceptor);

  int m_fd;
  uint64_t m_id;
  NetAddress m_address;
  Acceptor m_acceptor;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_AIO_TCP_LISTENER_H_
