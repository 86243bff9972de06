#include "aio/tcp_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "aio/wait.h"
#include "base/log.h"

namespace bronzecross {
namespace {

// Time after which unacknowledged data ends a connection, in milliseconds. It
// is below the three seconds after which the platform counts a VM as reachable
// again.
constexpr int kUserTimeoutMs = 2'500;

void SetOption(int fd, int level, int name, int value) {
  setsockopt(fd, level, name, &value, sizeof(value));
}

void SetKeepAlive(int fd, const KeepAliveOptions& options) {
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, options.m_idle_s);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, options.m_interval_s);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, options.m_probes);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

}  // namespace

TcpStream::TcpStream(int fd) : m_fd(fd) {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  m_id = EventLoop::Current().Add(fd, *this);
}

TcpStream::~TcpStream() {
  if (m_fd >= 0) {
    EventLoop::Current().Remove(m_fd, m_id);
    close(m_fd);
  }
}

void TcpStream::Close() {
  if (m_fd < 0) {
    return;
  }
  EventLoop::Current().Remove(m_fd, m_id);
  close(m_fd);
  m_fd = -1;
  m_read_ready = true;
  m_write_ready = true;
  m_readable.NotifyAll();
  m_writable.NotifyAll();
}

void TcpStream::OnReady(IoReadiness readiness) {
  m_hung_up = m_hung_up || readiness.m_hung_up;
  if (readiness.m_readable) {
    m_read_ready = true;
    m_readable.NotifyAll();
  }
  if (readiness.m_writable) {
    m_write_ready = true;
    m_writable.NotifyAll();
  }
}

Task<std::unique_ptr<TcpStream>> TcpStream::Connect(NetAddress address,
                                                    Millis deadline) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    Log(Severity::kError, LogPart::kHttp, "Cannot open a socket.",
        {{"errno", errno}});
    co_return nullptr;
  }
  SetKeepAlive(fd, KeepAliveOptions());
  const sockaddr_in target = ToSockaddr(address);
  const int rc =
      connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
  if (rc != 0 && errno != EINPROGRESS) {
    close(fd);
    co_return nullptr;
  }
  std::unique_ptr<TcpStream> stream = std::make_unique<TcpStream>(fd);
  if (rc == 0) {
    co_return stream;
  }
  stream->m_write_ready = false;
  while (!stream->m_write_ready) {
    if (MonotonicNow() >= deadline) {
      co_return nullptr;
    }
    WaitAny wait(deadline);
    wait.Add(stream->m_writable);
    co_await wait;
  }
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    co_return nullptr;
  }
  co_return stream;
}

IoResult TcpStream::Read(std::span<char> buffer) {
  if (!m_read_ready) {
    return {IoState::kAgain, 0};
  }
  const ssize_t count = recv(m_fd, buffer.data(), buffer.size(), 0);
  if (count > 0) {
    // A short read means that the socket buffer is empty. Edge-triggered epoll
    // reports the bytes that arrive later.
    if (static_cast<size_t>(count) < buffer.size() && !m_hung_up) {
      m_read_ready = false;
    }
    return {IoState::kOk, static_cast<size_t>(count)};
  }
  if (count == 0) {
    return {IoState::kClosed, 0};
  }
  if (errno == EAGAIN || errno == EINTR) {
    m_read_ready = errno == EINTR;
    return {IoState::kAgain, 0};
  }
  return {IoState::kFailed, 0};
}

IoResult TcpStream::Write(std::string_view bytes) {
  if (!m_write_ready) {
    return {IoState::kAgain, 0};
  }
  const ssize_t count = send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (count >= 0) {
    if (static_cast<size_t>(count) < bytes.size()) {
      m_write_ready = false;
    }
    return {IoState::kOk, static_cast<size_t>(count)};
  }
  if (errno == EAGAIN || errno == EINTR) {
    m_write_ready = errno == EINTR;
    return {IoState::kAgain, 0};
  }
  // What has been received before is still there; reads don't block any more.
  m_read_ready = true;
  m_hung_up = true;
  return {IoState::kFailed, 0};
}

void TcpStream::SetResetOnClose() {
  const linger option = {1, 0};
  setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

}  // namespace bronzecross
