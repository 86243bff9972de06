#include "base/net_address.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace bronzecross {
namespace {

tl::unexpected<Error> FailErrno(std::string_view action,
                                const NetAddress& address) {
  return Fail(ResultCode::kInternal,
              absl::StrCat(absl::string_view(action.data(), action.size()), " ",
                           address.ToString(), ": ", std::strerror(errno)));
}

}  // namespace

std::string NetAddress::ToString() const {
  return absl::StrCat(m_ip, ":", m_port);
}

Result<NetAddress> ParseNetAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  uint32_t port = 0;
  in_addr parsed = {};
  if (colon != std::string_view::npos) {
    const std::string ip(text.substr(0, colon));
    const std::string digits(text.substr(colon + 1));
    if (inet_pton(AF_INET, ip.c_str(), &parsed) == 1 &&
        absl::SimpleAtoi(digits, &port) && port <= UINT16_MAX) {
      return NetAddress{ip, static_cast<uint16_t>(port)};
    }
  }
  return Fail(ResultCode::kInvalidArgument,
              absl::StrCat("\"", std::string(text),
                           "\" is not an IPv4 address with a port"));
}

sockaddr_in ToSockaddr(const NetAddress& address) {
  sockaddr_in out = {};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.m_port);
  inet_pton(AF_INET, address.m_ip.c_str(), &out.sin_addr);
  return out;
}

Result<int> ListenTcp(const NetAddress& address, NetAddress& bound) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return FailErrno("cannot create a socket for", address);
  }
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in name = ToSockaddr(address);
  socklen_t length = sizeof(name);
  if (bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0 ||
      listen(fd, SOMAXCONN) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&name), &length) != 0) {
    const tl::unexpected<Error> error = FailErrno("cannot listen on", address);
    close(fd);
    return error;
  }
  bound = NetAddress{address.m_ip, ntohs(name.sin_port)};
  return fd;
}

Result<int> ConnectTcp(const NetAddress& address, Millis timeout) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) {
    return FailErrno("cannot create a socket for", address);
  }
  sockaddr_in name = ToSockaddr(address);
  int rc = connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name));
  if (rc != 0 && errno == EINPROGRESS) {
    pollfd entry = {fd, POLLOUT, 0};
    rc = poll(&entry, 1, static_cast<int>(timeout.count()));
    int failure = ETIMEDOUT;
    socklen_t length = sizeof(failure);
    if (rc == 1) {
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &length);
    }
    errno = failure;
    rc = failure == 0 ? 0 : -1;
  }
  if (rc != 0) {
    const tl::unexpected<Error> error = FailErrno("cannot connect to", address);
    close(fd);
    return error;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

}  // namespace bronzecross
