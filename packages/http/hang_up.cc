#include "http/hang_up.h"

#include <sys/socket.h>

namespace bronzecross {

bool HasHungUp(int fd) {
  char byte = 0;
  return fd >= 0 && recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

}  // namespace bronzecross
