// HTTP server on libmicrohttpd: one thread for each connection, which runs the
// handler from the request to the last byte of the reply.

#ifndef BRONZECROSS_HTTP_HTTP_SERVER_H_
#define BRONZECROSS_HTTP_HTTP_SERVER_H_

#include <atomic>
#include <functional>
#include <string>

#include "base/net_address.h"
#include "http/http_message.h"

struct MHD_Daemon;

namespace bronzecross {

struct HttpServerOptions {
  NetAddress m_address;
  int64_t m_max_header_bytes = 16 * 1024;
  int64_t m_max_connections = 4000;
  Millis m_idle_timeout{60'000};
};

struct HttpHandlers {
  // Called with the header only; decides what happens with the body.
  std::function<BodyPlan(HttpRequest&)> m_plan;
  // Called with the whole request. `body` carries the sink's error, if any.
  std::function<HttpReply(HttpRequest&, const Status& body)> m_handle;
};

class HttpServer {
 public:
  HttpServer(HttpServerOptions options, HttpHandlers handlers);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  Status Start();
  const NetAddress& Address() const { return m_bound; }

  // From now on each reply asks the caller to close its connection.
  void AnnounceClose() { m_announce_close = true; }
  // Stops listening. Open connections go on, and those that callers have
  // already been granted by the system are served as well.
  void StopListening();
  // Closes all connections and waits for their threads.
  void Stop();

  // Requests whose reply is not yet written in full.
  int ActiveRequests() const { return m_active; }
  int OpenConnections() const;
  // When a connection was last accepted, or a request last begun or ended.
  Millis LastActivity() const { return Millis(m_last_activity); }

 private:
  void AcceptWaiting();
  void NoteActivity() { m_last_activity = MonotonicNow().count(); }

  struct Exchange;
  struct Callbacks;
  friend struct Callbacks;

  const HttpServerOptions m_options;
  const HttpHandlers m_handlers;
  MHD_Daemon* m_daemon = nullptr;
  int m_listen_fd = -1;
  NetAddress m_bound;
  std::atomic<int> m_active = 0;
  std::atomic<bool> m_announce_close = false;
  std::atomic<bool> m_listening = false;
  std::atomic<int64_t> m_last_activity = 0;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP_HTTP_SERVER_H_
