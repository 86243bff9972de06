// Stand-in for a plain service. It counts how often each request body ran.

#ifndef BRONZECROSS_STANDINS_SERVICE_STANDIN_H_
#define BRONZECROSS_STANDINS_SERVICE_STANDIN_H_

#include <map>
#include <string>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "standins/standin_server.h"

namespace bronzecross {

struct ServiceOptions {
  std::string m_name = "service";
  Millis m_delay{2};
};

// Answers any path with {"service","run","echo"}: its name, the number of this
// run and the request's body.
class ServiceStandin {
 public:
  explicit ServiceStandin(ServiceOptions options);
  ~ServiceStandin();

  std::string Url() const { return m_server.Url(); }
  void Crash() { m_server.Stop(); }
  void Restart() { m_server.Start(); }
  void SetDelay(Millis delay);
  // Answers the next `count` requests with `status` without running them.
  void FailNext(int count, int status);

  std::map<std::string, int> RunsByBody();
  // Headers of all requests seen, for checks on what is passed on.
  std::vector<HttpHeader> SeenHeaders();

 private:
  HttpReply Handle(HttpRequest& request);

  const ServiceOptions m_options;
  absl::Mutex m_mutex;
  Millis m_delay ABSL_GUARDED_BY(m_mutex);
  int m_fail_count ABSL_GUARDED_BY(m_mutex) = 0;
  int m_fail_status ABSL_GUARDED_BY(m_mutex) = 500;
  int64_t m_runs ABSL_GUARDED_BY(m_mutex) = 0;
  std::map<std::string, int> m_by_body ABSL_GUARDED_BY(m_mutex);
  std::vector<HttpHeader> m_headers ABSL_GUARDED_BY(m_mutex);
  StandinServer m_server;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_STANDINS_SERVICE_STANDIN_H_
