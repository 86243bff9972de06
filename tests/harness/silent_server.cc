#include "harness/silent_server.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>

namespace bronzecross {

SilentServer::SilentServer() {
  const Result<int> fd = ListenTcp(NetAddress{"127.0.0.1", 0}, m_address);
  if (!fd) {
    std::fprintf(stderr, "silent server: cannot listen\n");
    std::abort();
  }
  m_listen_fd = *fd;
}

SilentServer::~SilentServer() {
  for (const int fd : m_accepted) {
    close(fd);
  }
  close(m_listen_fd);
}

bool SilentServer::WaitForConnection(Millis timeout) {
  pollfd entry = {m_listen_fd, POLLIN, 0};
  if (poll(&entry, 1, static_cast<int>(timeout.count())) != 1) {
    return false;
  }
  m_accepted.push_back(accept(m_listen_fd, nullptr, nullptr));
  return true;
}

}  // namespace bronzecross
