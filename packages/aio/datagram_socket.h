// A UDP socket on the event loop, for gossip messages between VMs, which may be
// lost.

#ifndef BRONZECROSS_AIO_DATAGRAM_SOCKET_H_
#define BRONZECROSS_AIO_DATAGRAM_SOCKET_H_

#include <functional>
#include <memory>
#include <string_view>

#include "aio/event_loop.h"
#include "base/net_address.h"

namespace bronzecross {

class DatagramSocket : public IoTarget {
 public:
  using Receiver = std::function<void(std::string_view)>;

  // Binds to `address` and calls `receiver` with the payload of each datagram.
  static Result<std::unique_ptr<DatagramSocket>> Open(const NetAddress& address,
                                                      Receiver receiver);
  ~DatagramSocket() override;
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Sends without blocking. The datagram is dropped if the send buffer is full.
  void Send(const NetAddress& to, std::string_view bytes);

  void OnReady(IoReadiness readiness) override;

 private:
  DatagramSocket(int fd, Receiver receiver);

  int m_fd;
  uint64_t m_id;
  Receiver m_receiver;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_AIO_DATAGRAM_SOCKET_H_
