#include "upstreams/load_report.h"

#include <doctest/doctest.h>

namespace bronzecross {

TEST_CASE("samples of a load metric are summed over their labels") {
  const Result<LoadReport> report = ParseLoadReport(
      "# HELP x\nvllm:num_requests_running{model_name=\"a\"} 2.0\n"
      "vllm:num_requests_running{model_name=\"b\"} 3.0\n"
      "vllm:num_requests_running_other 9\n"
      "vllm:num_requests_waiting 1\n");
  REQUIRE(report.has_value());
  CHECK(report->m_running == 5);
  CHECK(report->m_waiting == 1);
}

// Guards against a truncated report or an invalid value that makes an upstream
// look idle.
TEST_CASE("incomplete or malformed load reports are rejected") {
  CHECK_FALSE(ParseLoadReport("").has_value());
  CHECK_FALSE(ParseLoadReport("vllm:num_requests_running 1\n").has_value());
  CHECK_FALSE(ParseLoadReport("vllm:num_requests_running NaN\n"
                              "vllm:num_requests_waiting 0\n")
                  .has_value());
  CHECK_FALSE(ParseLoadReport("vllm:num_requests_running -5\n"
                              "vllm:num_requests_waiting 0\n")
                  .has_value());
}

}  // namespace bronzecross
