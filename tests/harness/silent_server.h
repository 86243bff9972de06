// A server that accepts connections and never replies.

#ifndef BRONZECROSS_TESTS_HARNESS_SILENT_SERVER_H_
#define BRONZECROSS_TESTS_HARNESS_SILENT_SERVER_H_

#include <vector>

#include "base/net_address.h"

namespace bronzecross {

class SilentServer {
 public:
  SilentServer();
  ~SilentServer();
  SilentServer(const SilentServer&) = delete;
  SilentServer& operator=(const SilentServer&) = delete;

  const NetAddress& Address() const { return m_address; }
  // Returns whether a connection arrives within `timeout`.
  bool WaitForConnection(Millis timeout);

 private:
  NetAddress m_address;
  int m_listen_fd = -1;
  std::vector<int> m_accepted;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_HARNESS_SILENT_SERVER_H_
