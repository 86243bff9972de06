// The platform demo: two gateways among stand-ins of the users' platform serve
// requests, streams and a batch job; one of them is killed.

#include <signal.h>

#include <cstdio>

#include "base/text.h"
#include "harness/gateway_cluster.h"
#include "standins/platform_caller.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kJobTimeout{30'000};

int g_failures = 0;

void Report(bool holds, const std::string& what) {
  std::printf("%s  %s\n", holds ? "ok  " : "FAIL", what.c_str());
  g_failures += holds ? 0 : 1;
}

int RunPlatformDemo() {
  GatewayClusterOptions options;
  options.m_engine.m_events = 25;
  options.m_engine.m_event_gap = Millis(20);
  GatewayCluster cluster(options);
  std::printf("two gateways, two engines and a store are up\n");

  GatewayRequest request;
  request.m_target = "/plain/receipt";
  request.m_id = "receipt-1";
  HttpAnswer answer = cluster.Call(request);
  Report(answer.m_status == 200,
         Concat("a plain request: ", answer.m_status, " ", answer.m_body));

  request.m_target = "/stream/question";
  request.m_id = "question-1";
  answer = cluster.Call(request);
  Report(answer.m_status == 200,
         Concat("a stream: ", answer.m_status, ", ", answer.m_body.size(),
                " bytes of events"));

  request.m_key = "unknown";
  Report(cluster.Call(request).m_status == 401, "an unknown key is refused");

  GatewayRequest submission;
  submission.m_target = "/batch/jobs";
  submission.m_id = "job-1";
  submission.m_body = PlatformJobBody("job-1", 12);
  Report(cluster.Call(submission).m_status == 202,
         "a batch job of 12 items is accepted by gateway 0");
  cluster.Vm(0).Kill();
  std::printf("gateway 0 is killed\n");
  const json page = cluster.WaitForResults(1, "job-1", kJobTimeout);
  Report(page.is_object() && page.value("next", 0) == 12,
         Concat("gateway 1 took the job over; results: ",
                page.is_object() ? page.value("next", 0) : 0, " of 12"));
  return g_failures == 0 ? 0 : 1;
}

}  // namespace
}  // namespace bronzecross

int main() {
  signal(SIGPIPE, SIG_IGN);
  return bronzecross::RunPlatformDemo();
}
