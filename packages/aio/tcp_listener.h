// A listening TCP socket on the event loop.

#ifndef BRONZECROSS_AIO_TCP_LISTENER_H_
#define BRONZECROSS_AIO_TCP_LISTENER_H_

#include <functional>
#include <memory>

#include "aio/connection_table.h"
#include "aio/event_loop.h"
#include "aio/tcp_stream.h"
#include "base/net_address.h"

namespace bronzecross {

class TcpListener : public IoTarget {
 public:
  using Acceptor = std::function<void(std::unique_ptr<TcpStream>)>;

  // Listens on `address` and calls `acceptor` for each new connection for which
  // `table` has room; a null table bounds nothing and otherwise must outlive
  // the listener.
  static Result<std::unique_ptr<TcpListener>> Open(
      const NetAddress& address,
      Acceptor acceptor,
      ConnectionTable* table = nullptr);
  ~TcpListener() override;

  // Accepts all established connections in the backlog. Call it before
  // destroying the listener, since closing the socket resets the connections
  // left there.
  void AcceptPending() { OnReady(IoReadiness()); }
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // Returns the bound address, with the port chosen by the system if port 0 was
  // requested.
  const NetAddress& GetAddress() const { return m_address; }

  void OnReady(IoReadiness readiness) override;

 private:
  TcpListener(int fd,
              NetAddress address,
              Acceptor acceptor,
              ConnectionTable* table);
  // Returns whether accept() may be called again after it failed with `error`.
  bool MayRetry(int error);

  int m_fd;
  uint64_t m_id;
  NetAddress m_address;
  Acceptor m_acceptor;
  ConnectionTable* m_table;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_AIO_TCP_LISTENER_H_
