// An IP address and port.

#ifndef BRONZECROSS_BASE_NET_ADDRESS_H_
#define BRONZECROSS_BASE_NET_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"

struct sockaddr_in;

namespace bronzecross {

// IPv4 only: the platform addresses its machines by IPv4 numbers.
struct NetAddress {
  std::string m_ip;
  uint16_t m_port = 0;

  bool operator==(const NetAddress&) const = default;
  std::string ToString() const;
};

// Parses "1.2.3.4:567". Fails with kInvalidArgument.
Result<NetAddress> ParseNetAddress(std::string_view text);

sockaddr_in ToSockaddr(const NetAddress& address);

// Opens a listening TCP socket. Returns the descriptor; `bound` receives the
// address with the port that the system handed out for port 0.
Result<int> ListenTcp(const NetAddress& address, NetAddress& bound);

// Connects within `timeout`. Returns a blocking descriptor with TCP_NODELAY.
Result<int> ConnectTcp(const NetAddress& address, Millis timeout);

// Sends `bytes` on a blocking socket. Returns false if the connection has
// ended.
bool SendAll(int fd, std::string_view bytes);

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_NET_ADDRESS_H_
