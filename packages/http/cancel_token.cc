#include "http/cancel_token.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cassert>
#include <cstdint>

namespace bronzecross {

CancelToken::CancelToken() : m_fd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  assert(m_fd >= 0);
}

CancelToken::~CancelToken() {
  close(m_fd);
}

void CancelToken::Cancel() {
  m_cancelled = true;
  const uint64_t one = 1;
  const ssize_t written = write(m_fd, &one, sizeof(one));
  static_cast<void>(written);
}

}  // namespace bronzecross
