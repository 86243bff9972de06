// Stand-in for a replica that sends bytes of the test's choice, also without
// end, until the caller closes.

#ifndef BRONZECROSS_STANDINS_RAW_REPLICA_STANDIN_H_
#define BRONZECROSS_STANDINS_RAW_REPLICA_STANDIN_H_

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "base/clock.h"
#include "base/net_address.h"

namespace bronzecross {

struct RawReplicaScript {
  // Sent once after a request. "{id}" stands for the request's id.
  std::string m_begin;
  // Sent after each further request on a connection; "{first}" stands for the
  // id of the first one. Empty: further requests are not read.
  std::string m_later;
  // Sent again and again after that, until the caller closes; empty: nothing.
  std::string m_repeated;
  // Pause before each repetition.
  Millis m_pause;
  // Time between a request and m_begin.
  Millis m_delay;
  // Whether the connection ends after the repetitions so far if m_repeated is
  // empty.
  bool m_closes = false;
  // Whether it ends with a reset instead of a close.
  bool m_resets = false;
  // Whether nothing is read after the head of a request.
  bool m_ignores_body = false;
  // Whether connections are refused once a request has arrived, as after a
  // crash.
  bool m_stops_listening = false;
};

class RawReplicaStandin {
 public:
  explicit RawReplicaStandin(RawReplicaScript script);
  ~RawReplicaStandin();
  RawReplicaStandin(const RawReplicaStandin&) = delete;
  RawReplicaStandin& operator=(const RawReplicaStandin&) = delete;

  // Takes effect with the next connection.
  void SetScript(const RawReplicaScript& script);

  const NetAddress& Address() const { return m_address; }
  int Requests() const { return m_requests; }
  // Number of requests on connections that had carried one before.
  int LaterRequests() const { return m_later_requests; }
  // Connections that the caller hasn't closed yet.
  int OpenConnections() const { return m_open; }

 private:
  void Accept();
  RawReplicaScript CurrentScript();
  void Serve(int fd, const RawReplicaScript& script);

  absl::Mutex m_mutex;
  RawReplicaScript m_script ABSL_GUARDED_BY(m_mutex);
  int m_listener = -1;
  NetAddress m_address;
  std::atomic<bool> m_stopped = false;
  std::atomic<bool> m_listens = true;
  std::atomic<int> m_requests = 0;
  std::atomic<int> m_later_requests = 0;
  std::atomic<int> m_open = 0;
  std::thread m_acceptor;
  std::vector<std::thread> m_threads;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_STANDINS_RAW_REPLICA_STANDIN_H_
