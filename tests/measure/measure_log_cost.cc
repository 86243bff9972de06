// Cost of the gateway's log: lines of a request, processor time of these, and
// what is dropped when nobody reads standard output.

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

#include "base/log.h"
#include "base/text.h"
#include "harness/gateway_cluster.h"
#include "measure/measurement.h"

namespace bronzecross {
namespace {

constexpr int kRequests = 300;
constexpr int kLines = 20'000;

double LinesPerRequest() {
  GatewayCluster cluster(GatewayClusterOptions{});
  const auto count_lines = [&cluster] {
    const std::string log = cluster.LogOf(0);
    return std::count(log.begin(), log.end(), '\n');
  };
  const int64_t before = count_lines();
  for (int i = 0; i < kRequests; ++i) {
    GatewayRequest request;
    request.m_target = "/stream/x";
    request.m_id = Concat("r", i);
    cluster.Call(request);
  }
  SleepFor(Millis(300));
  return static_cast<double>(count_lines() - before) / kRequests;
}

void WriteLine(int i) {
  Log(Severity::kInfo, LogPart::kRouting, "Tried an upstream.",
      {{"request", "975216058f8598ea"},
       {"upstream", "i-77ecbbc4d1"},
       {"state", "answered"},
       {"status", 200},
       {"online", i},
       {"batch", 0},
       {"peer_online", 2},
       {"peer_batch", 0},
       {"ms", 24}});
}

// Writes to a pipe that nobody reads. Returns microseconds of one line, and
// counts the lines that came through.
double MicrosPerLine(int64_t& written) {
  int ends[2] = {};
  if (pipe(ends) != 0) {
    return 0;
  }
  std::fflush(stdout);
  const int saved = dup(STDOUT_FILENO);
  dup2(ends[1], STDOUT_FILENO);
  InitBufferedLog(Severity::kInfo, LogFormat::kText);
  const std::chrono::steady_clock::time_point started =
      std::chrono::steady_clock::now();
  for (int i = 0; i < kLines; ++i) {
    WriteLine(i);
  }
  FlushLog();
  const std::chrono::duration<double, std::micro> took =
      std::chrono::steady_clock::now() - started;
  dup2(saved, STDOUT_FILENO);
  close(saved);
  close(ends[1]);
  char buffer[65'536];
  for (ssize_t count = 0;
       (count = read(ends[0], buffer, sizeof(buffer))) > 0;) {
    written += std::count(buffer, buffer + count, '\n');
  }
  close(ends[0]);
  return took.count() / kLines;
}

int MeasureLogCost(uint64_t) {
  const double lines = LinesPerRequest();
  int64_t written = 0;
  const double micros = MicrosPerLine(written);
  std::printf(
      "measure log_cost lines_per_request=%.2f cpu_us_per_request=%.2f "
      "dropped_under_load=%lld\n",
      lines, lines * micros, static_cast<long long>(kLines - written));
  return 0;
}

const MeasurementRegistration kRegistration("log_cost", MeasureLogCost);

}  // namespace
}  // namespace bronzecross
