#include "base/log_trace.h"

#include <doctest/doctest.h>

namespace bronzecross {
namespace {

TEST_CASE("an id matches only as the whole value of a field") {
  CHECK(ContainsId("2026-01-01T00:00:00.000Z info online: X. request=ab1 ms=2",
                   "ab1"));
  CHECK(ContainsId("... job=ab1", "ab1"));
  CHECK(ContainsId(R"({"message":"X.","request":"ab1"})", "ab1"));
  CHECK_FALSE(ContainsId("... request=ab12 ms=2", "ab1"));
  CHECK_FALSE(ContainsId("... request=xab1 ms=2", "ab1"));
  CHECK_FALSE(ContainsId("... request=\"\"", ""));
}

TEST_CASE("matching lines of several logs are ordered by timestamp") {
  const std::vector<std::string> logs = {
      "vm-a 2026-01-01T00:00:02.000Z info online: B. request=r1\n"
      "vm-a 2026-01-01T00:00:03.000Z info online: Other. request=r2\n",
      "2026-01-01T00:00:01.500Z info limits: A. request=r1\n"
      "no time request=r1\n"};
  const std::vector<std::string> lines = TraceLogs(logs, "r1");
  REQUIRE(lines.size() == 3);
  CHECK(lines[0] == "no time request=r1");
  CHECK(lines[1].find("A.") != std::string::npos);
  CHECK(lines[2].find("B.") != std::string::npos);
}

}  // namespace
}  // namespace bronzecross
