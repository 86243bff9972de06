// An HTTP server on a port that the system hands out, for stand-ins. It can be
// stopped and started again on the same port.

#ifndef BRONZECROSS_STANDINS_STANDIN_SERVER_H_
#define BRONZECROSS_STANDINS_STANDIN_SERVER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "http/hang_up.h"
#include "http/http_server.h"

namespace bronzecross {

class StandinServer {
 public:
  using Handler = std::function<HttpReply(HttpRequest&)>;

  explicit StandinServer(Handler handler);
  ~StandinServer();

  // Starts on the port of the last run, or on a new one.
  void Start();
  // Cuts all connections, as a crash does.
  // Refuses new connections; open ones go on.
  void StopListening();
  void Stop();

  bool IsRunning() const { return m_running; }
  const NetAddress& Address() const { return m_address; }
  std::string Url() const { return "http://" + m_address.ToString(); }

 private:
  Handler m_handler;
  NetAddress m_address{"127.0.0.1", 0};
  std::unique_ptr<HttpServer> m_server;
  std::atomic<bool> m_running = false;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_STANDINS_STANDIN_SERVER_H_
