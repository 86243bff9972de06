#include "aio/datagram_socket.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

#include "base/text.h"

namespace bronzecross {
namespace {

// Maximum UDP payload over IPv4.
constexpr size_t kMaxDatagramBytes = 65'507;

}  // namespace

Result<std::unique_ptr<DatagramSocket>> DatagramSocket::Open(
    const NetAddress& address,
    Receiver receiver) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return Fail(ResultCode::kInternal,
                Concat("cannot open a UDP socket: errno ", errno));
  }
  const sockaddr_in local = ToSockaddr(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0) {
    const int error = errno;
    close(fd);
    return Fail(
        ResultCode::kInternal,
        Concat("cannot bind UDP ", address.ToString(), ": errno ", error));
  }
  return std::unique_ptr<DatagramSocket>(
      new DatagramSocket(fd, std::move(receiver)));
}

DatagramSocket::DatagramSocket(int fd, Receiver receiver)
    : m_fd(fd),
      m_id(EventLoop::Current().Add(fd, *this)),
      m_receiver(std::move(receiver)) {}

DatagramSocket::~DatagramSocket() {
  EventLoop::Current().Remove(m_fd, m_id);
  close(m_fd);
}

void DatagramSocket::Send(const NetAddress& to, std::string_view bytes) {
  const sockaddr_in target = ToSockaddr(to);
  sendto(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL,
         reinterpret_cast<const sockaddr*>(&target), sizeof(target));
}

void DatagramSocket::OnReady(IoReadiness readiness) {
  if (!readiness.m_readable) {
    return;
  }
  static thread_local std::array<char, kMaxDatagramBytes> buffer;
  for (;;) {
    const ssize_t count = recv(m_fd, buffer.data(), buffer.size(), 0);
    if (count < 0 && errno != EINTR) {
      return;
    }
    if (count > 0) {
      m_receiver(std::string_view(buffer.data(), static_cast<size_t>(count)));
    }
  }
}

}  // namespace bronzecross
