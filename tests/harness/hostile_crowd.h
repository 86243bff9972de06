// Connections that send the same bytes, read nothing and stay open, whatever
// the server does, and what a process holds meanwhile.

#ifndef BRONZECROSS_TESTS_HARNESS_HOSTILE_CROWD_H_
#define BRONZECROSS_TESTS_HARNESS_HOSTILE_CROWD_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/net_address.h"

namespace bronzecross {

// What each connection sends: `m_begin`, then `m_repeated` again and again up
// to `m_max_bytes` in total. The last repetition is complete.
struct HostileInput {
  std::string m_name;
  std::string m_begin;
  std::string m_repeated;
  size_t m_max_bytes = 0;
};

class HostileCrowd {
 public:
  // `pid`: the server, whose open descriptors are counted.
  HostileCrowd(const NetAddress& server, pid_t pid, size_t connections);
  // Closes all connections.
  ~HostileCrowd();
  HostileCrowd(const HostileCrowd&) = delete;
  HostileCrowd& operator=(const HostileCrowd&) = delete;

  // Sends `input` on all connections at the same time. Ends once each has sent
  // everything or was closed by the server, or if no byte was accepted for
  // `stall`.
  void Send(const HostileInput& input, Millis stall);
  // Leaves the connections open for `duration`.
  void Hold(Millis duration);
  // The largest number of descriptors that the server had open meanwhile.
  int PeakDescriptors() const { return m_peak_descriptors; }

 private:
  struct Connection {
    int m_fd = -1;
    size_t m_sent = 0;
    bool m_open = true;
  };

  // Returns whether the connection accepted bytes.
  static bool SendSome(Connection& connection, std::string_view bytes);
  void CountDescriptors();

  pid_t m_pid;
  std::vector<Connection> m_connections;
  int m_peak_descriptors = 0;
};

// Peak resident memory of a process in MB, or -1.
int64_t PeakMemoryMb(pid_t pid);
int CountOpenDescriptors(pid_t pid);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_HARNESS_HOSTILE_CROWD_H_
