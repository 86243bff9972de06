#include "standins/standin_server.h"

#include <cstdio>
#include <cstdlib>

namespace bronzecross {
namespace {

constexpr int64_t kMaxBody = 64 << 20;

}  // namespace

StandinServer::StandinServer(Handler handler) : m_handler(std::move(handler)) {}

StandinServer::~StandinServer() {
  Stop();
}

void StandinServer::Start() {
  HttpServerOptions options;
  options.m_address = m_address;
  options.m_max_connections = 10'000;
  m_server = std::make_unique<HttpServer>(
      options, HttpHandlers{[](HttpRequest&) {
                              return BodyPlan{kMaxBody, nullptr, std::nullopt};
                            },
                            [this](HttpRequest& request, const Status&) {
                              return m_handler(request);
                            }});
  const Status started = m_server->Start();
  if (!started) {
    std::fprintf(stderr, "stand-in: %s\n", started.error().m_message.c_str());
    std::abort();
  }
  m_address = m_server->Address();
  m_running = true;
}

void StandinServer::StopListening() {
  m_server->StopListening();
}

void StandinServer::Stop() {
  if (m_server != nullptr) {
    m_server->StopListening();
    m_server->Stop();
    m_server.reset();
    m_running = false;
  }
}

}  // namespace bronzecross
