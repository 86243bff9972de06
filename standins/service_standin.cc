#include "standins/service_standin.h"

#include <nlohmann/json.hpp>

#include "http/http_error_reply.h"

namespace bronzecross {
namespace {

constexpr size_t kMaxSeenHeaders = 10'000;

}  // namespace

ServiceStandin::ServiceStandin(ServiceOptions options)
    : m_options(std::move(options)),
      m_delay(m_options.m_delay),
      m_server([this](HttpRequest& request) { return Handle(request); }) {
  m_server.Start();
}

ServiceStandin::~ServiceStandin() {
  m_server.Stop();
}

void ServiceStandin::SetDelay(Millis delay) {
  absl::MutexLock lock(&m_mutex);
  m_delay = delay;
}

void ServiceStandin::FailNext(int count, int status) {
  absl::MutexLock lock(&m_mutex);
  m_fail_count = count;
  m_fail_status = status;
}

std::map<std::string, int> ServiceStandin::RunsByBody() {
  absl::MutexLock lock(&m_mutex);
  return m_by_body;
}

std::vector<HttpHeader> ServiceStandin::SeenHeaders() {
  absl::MutexLock lock(&m_mutex);
  return m_headers;
}

HttpReply ServiceStandin::Handle(HttpRequest& request) {
  Millis delay;
  int64_t run = 0;
  {
    absl::MutexLock lock(&m_mutex);
    if (m_headers.size() < kMaxSeenHeaders) {
      m_headers.insert(m_headers.end(), request.m_headers.begin(),
                       request.m_headers.end());
    }
    if (m_fail_count > 0) {
      --m_fail_count;
      return JsonReply(m_fail_status, R"({"error":{"message":"failing"}})");
    }
    run = ++m_runs;
    ++m_by_body[request.m_body];
    delay = m_delay;
  }
  SleepFor(delay);
  return JsonReply(200, nlohmann::json{{"service", m_options.m_name},
                                       {"run", run},
                                       {"echo", request.m_body}}
                            .dump());
}

}  // namespace bronzecross
