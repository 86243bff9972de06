#include "aio/tcp_listener.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "base/log.h"

namespace bronzecross {

Result<std::unique_ptr<TcpListener>> TcpListener::Open(
    const NetAddress& address,
    Acceptor acceptor,
    ConnectionTable* table) {
  NetAddress bound;
  const Result<int> fd = ListenTcp(address, bound);
  if (!fd) {
    return tl::unexpected<Error>(fd.error());
  }
  const int flags = fcntl(*fd, F_GETFL, 0);
  fcntl(*fd, F_SETFL, flags | O_NONBLOCK);
  return std::unique_ptr<TcpListener>(
      new TcpListener(*fd, bound, std::move(acceptor), table));
}

TcpListener::TcpListener(int fd,
                         NetAddress address,
                         Acceptor acceptor,
                         ConnectionTable* table)
    : m_fd(fd),
      m_id(EventLoop::Current().Add(fd, *this)),
      m_address(std::move(address)),
      m_acceptor(std::move(acceptor)),
      m_table(table) {}

TcpListener::~TcpListener() {
  EventLoop::Current().Remove(m_fd, m_id);
  close(m_fd);
}

bool TcpListener::MayRetry(int error) {
  if (error == EINTR || error == ECONNABORTED) {
    return true;
  }
  // The connections that wait to be accepted cause no further event, so room
  // for them is made now.
  return (error == EMFILE || error == ENFILE) && m_table != nullptr &&
         m_table->CloseOldest();
}

void TcpListener::OnReady(IoReadiness) {
  for (;;) {
    const int fd =
        accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0 && m_table != nullptr && !m_table->MakeRoom()) {
      close(fd);
      continue;
    }
    if (fd >= 0) {
      m_acceptor(std::make_unique<TcpStream>(fd));
      continue;
    }
    const int error = errno;
    if (MayRetry(error)) {
      continue;
    }
    if (error != EAGAIN) {
      Log(Severity::kError, LogPart::kHttp, "Cannot accept a connection.",
          {{"errno", error}});
    }
    return;
  }
}

}  // namespace bronzecross
