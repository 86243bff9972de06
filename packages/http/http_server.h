// HTTP server based on libmicrohttpd. Each connection has its own thread, which
// runs the handlers and sends the reply.

#ifndef BRONZECROSS_HTTP_HTTP_SERVER_H_
#define BRONZECROSS_HTTP_HTTP_SERVER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

#include "base/net_address.h"
#include "http/connection_list.h"
#include "http/http_message.h"

struct MHD_Daemon;

namespace bronzecross {

struct HttpServerOptions {
  NetAddress m_address;
  int64_t m_max_header_bytes = 16 * 1024;
  int64_t m_max_connections = 4000;
  Millis m_idle_timeout{60'000};
  // Bytes of request bodies that are held at the same time. Beyond it a request
  // is rejected with 503.
  int64_t m_max_held_bytes = INT64_MAX;
};

struct HttpHandlers {
  // Called once the header has been received; decides how the body is handled.
  std::function<BodyPlan(HttpRequest&)> m_plan;
  // Called with the complete request. `body` is the error of the sink or of the
  // multipart parser, if any.
  std::function<HttpReply(HttpRequest&, const Status& body)> m_handle;
};

class HttpServer {
 public:
  HttpServer(HttpServerOptions options, HttpHandlers handlers);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  Status Start();
  // Returns the bound address.
  const NetAddress& Address() const { return m_bound; }

  // Adds "Connection: close" to all further replies.
  void AnnounceClose() { m_announce_close = true; }
  // Stops listening. Open connections are still served, as are established ones
  // that were waiting to be accepted.
  void StopListening();
  // Closes all connections and joins their threads.
  void Stop();

  // Returns the number of requests whose reply is not completely written.
  int ActiveRequests() const { return m_active; }
  int OpenConnections() const;
  // Returns the time at which a connection was last accepted, or a request last
  // began or ended.
  Millis LastActivity() const { return Millis(m_last_activity); }

 private:
  void AcceptBacklog();
  void RecordActivity() { m_last_activity = MonotonicNow().count(); }

  struct Exchange;
  struct Callbacks;
  friend struct Callbacks;

  const HttpServerOptions m_options;
  const HttpHandlers m_handlers;
  MHD_Daemon* m_daemon = nullptr;
  ConnectionList m_connections;
  int m_listen_fd = -1;
  NetAddress m_bound;
  std::atomic<int64_t> m_held_bytes = 0;  // of request bodies
  std::atomic<int> m_active = 0;
  std::atomic<bool> m_announce_close = false;
  std::atomic<bool> m_listening = false;
  std::atomic<int64_t> m_last_activity = 0;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP_HTTP_SERVER_H_
