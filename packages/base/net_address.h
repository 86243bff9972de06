// IPv4 socket addresses and blocking TCP helpers.

#ifndef BRONZECROSS_BASE_NET_ADDRESS_H_
#define BRONZECROSS_BASE_NET_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"

struct sockaddr_in;

namespace bronzecross {

// An IPv4 address and port. The platform gives its machines IPv4 addresses
// only.
struct NetAddress {
  std::string m_ip;
  uint16_t m_port = 0;

  bool operator==(const NetAddress&) const = default;
  std::string ToString() const;
};

// Parses an address such as "1.2.3.4:567". Fails with kInvalidArgument.
Result<NetAddress> ParseNetAddress(std::string_view text);

sockaddr_in ToSockaddr(const NetAddress& address);

// Opens a listening TCP socket and returns its descriptor. Stores the bound
// address in `bound`, with the port chosen by the system if port 0 was
// requested.
Result<int> ListenTcp(const NetAddress& address, NetAddress& bound);

// Connects within `timeout`. Returns a blocking socket with TCP_NODELAY set.
Result<int> ConnectTcp(const NetAddress& address, Millis timeout);

// Sends all of `bytes` on a blocking socket. Returns false if the connection
// has failed.
bool SendAll(int fd, std::string_view bytes);

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_NET_ADDRESS_H_
