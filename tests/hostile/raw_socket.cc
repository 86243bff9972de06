#include "hostile/raw_socket.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace bronzecross {

std::string SendRaw(const NetAddress& server,
                    std::string_view bytes,
                    Millis timeout) {
  std::string answer;
  const Result<int> fd = ConnectTcp(server, timeout);
  if (!fd) {
    return answer;
  }
  const Millis deadline = MonotonicNow() + timeout;
  // What the server has answered until then is read in any case.
  SendAll(*fd, bytes);
  shutdown(*fd, SHUT_WR);
  std::array<char, 4096> block;
  while (MonotonicNow() < deadline) {
    pollfd entry = {*fd, POLLIN, 0};
    const Millis left = std::max(deadline - MonotonicNow(), Millis(0));
    if (poll(&entry, 1, static_cast<int>(left.count())) <= 0) {
      break;
    }
    const ssize_t got = recv(*fd, block.data(), block.size(), 0);
    if (got <= 0) {
      break;
    }
    answer.append(block.data(), static_cast<size_t>(got));
  }
  close(*fd);
  return answer;
}

}  // namespace bronzecross
