#include "hostile/raw_socket.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace bronzecross {

namespace {

// Reads until the server closes, at most until `deadline`.
std::string ReadAll(int fd, Millis deadline) {
  std::string answer;
  std::array<char, 4096> block;
  while (MonotonicNow() < deadline) {
    pollfd entry = {fd, POLLIN, 0};
    const Millis left = std::max(deadline - MonotonicNow(), Millis(0));
    if (poll(&entry, 1, static_cast<int>(left.count())) <= 0) {
      break;
    }
    const ssize_t got = recv(fd, block.data(), block.size(), 0);
    if (got <= 0) {
      break;
    }
    answer.append(block.data(), static_cast<size_t>(got));
  }
  return answer;
}

std::string Call(const NetAddress& server,
                 std::string_view bytes,
                 Millis timeout,
                 bool ends_sending) {
  const Result<int> fd = ConnectTcp(server, timeout);
  if (!fd) {
    return "";
  }
  const Millis deadline = MonotonicNow() + timeout;
  // What the server has answered until then is read in any case.
  SendAll(*fd, bytes);
  if (ends_sending) {
    shutdown(*fd, SHUT_WR);
  }
  std::string answer = ReadAll(*fd, deadline);
  close(*fd);
  return answer;
}

}  // namespace

std::string SendRaw(const NetAddress& server,
                    std::string_view bytes,
                    Millis timeout) {
  return Call(server, bytes, timeout, true);
}

std::string CallRaw(const NetAddress& server,
                    std::string_view bytes,
                    Millis timeout) {
  return Call(server, bytes, timeout, false);
}

}  // namespace bronzecross
