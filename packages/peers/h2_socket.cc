#include "peers/h2_socket.h"

#include <fcntl.h>
#include <nghttp2/nghttp2.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>

namespace bronzecross {
namespace {

constexpr size_t kReadBytes = 64 * 1024;
constexpr size_t kMaxSendBufferBytes = 256 * 1024;

std::atomic<int64_t> g_bytes = 0;

}  // namespace

int64_t PeerBytesTotal() {
  return g_bytes;
}

H2Socket::H2Socket(int fd)
    : m_fd(fd), m_wake_fd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  fcntl(m_fd, F_SETFL, fcntl(m_fd, F_GETFL) | O_NONBLOCK);
}

H2Socket::~H2Socket() {
  close(m_fd);
  close(m_wake_fd);
}

void H2Socket::Wake() {
  const uint64_t one = 1;
  const ssize_t written = write(m_wake_fd, &one, sizeof(one));
  static_cast<void>(written);
}

void H2Socket::Stop() {
  shutdown(m_fd, SHUT_RDWR);
  Wake();
}

bool H2Socket::Flush(nghttp2_session* session) {
  while (true) {
    if (m_sent == m_send_buffer.size()) {
      m_send_buffer.clear();
      m_sent = 0;
      const uint8_t* data = nullptr;
      ssize_t size = 0;
      while (m_send_buffer.size() < kMaxSendBufferBytes &&
             (size = nghttp2_session_mem_send(session, &data)) > 0) {
        m_send_buffer.append(reinterpret_cast<const char*>(data),
                             static_cast<size_t>(size));
      }
      if (size < 0) {
        return false;
      }
      if (m_send_buffer.empty()) {
        return true;
      }
    }
    const ssize_t sent = send(m_fd, m_send_buffer.data() + m_sent,
                              m_send_buffer.size() - m_sent, MSG_NOSIGNAL);
    if (sent < 0) {
      return errno == EAGAIN || errno == EINTR;
    }
    g_bytes += sent;
    m_sent += static_cast<size_t>(sent);
  }
}

bool H2Socket::Receive(nghttp2_session* session) {
  std::array<uint8_t, kReadBytes> buffer;
  const ssize_t received = recv(m_fd, buffer.data(), buffer.size(), 0);
  if (received == 0) {
    return false;
  }
  if (received < 0) {
    return errno == EAGAIN || errno == EINTR;
  }
  g_bytes += received;
  return nghttp2_session_mem_recv(session, buffer.data(),
                                  static_cast<size_t>(received)) >= 0;
}

void H2Socket::Run(nghttp2_session* session,
                   const std::function<void()>& on_wake) {
  while (true) {
    on_wake();
    if (!Flush(session)) {
      return;
    }
    if (nghttp2_session_want_read(session) == 0 &&
        nghttp2_session_want_write(session) == 0 && m_send_buffer.empty()) {
      return;
    }
    const bool pending = m_sent < m_send_buffer.size();
    std::array<pollfd, 2> fds = {
        pollfd{m_fd, static_cast<short>(pending ? POLLIN | POLLOUT : POLLIN),
               0},
        pollfd{m_wake_fd, POLLIN, 0}};
    poll(fds.data(), fds.size(), -1);
    if (fds[1].revents != 0) {
      uint64_t count = 0;
      const ssize_t received = read(m_wake_fd, &count, sizeof(count));
      static_cast<void>(received);
    }
    if ((fds[0].revents & (POLLIN | POLLHUP | POLLERR)) != 0 &&
        !Receive(session)) {
      return;
    }
  }
}

}  // namespace bronzecross
