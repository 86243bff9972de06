#include <string>

#include <doctest/doctest.h>

#include "routing/prompt_prefix.h"
#include "routing/reported_load.h"
#include "routing/service_time.h"

namespace bronzecross {

// Guards against counting a request both as sent and as reported.
TEST_CASE("external load excludes the VMs' own requests and decays with age") {
  ReportedLoad load;
  RecordReport(load, 5, 5, Millis(1000));
  CHECK(ExternalLoad(load, Millis(1000)) == 0);
  ReportedLoad other;
  RecordReport(other, 9, 5, Millis(1000));
  CHECK(ExternalLoad(other, Millis(1000)) == doctest::Approx(4));
  CHECK(ExternalLoad(other, Millis(2000)) == doctest::Approx(2));
  CHECK(ExternalLoad(other, Millis(3000)) == 0);
}

// Guards against a replica that is never used because its reports are wrong.
TEST_CASE("fast responses reduce the weight of a wrong load report") {
  ReportedLoad load;
  RecordReport(load, 1000, 0, Millis(1000));
  for (int i = 0; i < 30; ++i) {
    RecordResponseTime(load, 100, 100, 4);
  }
  CHECK(ExternalLoad(load, Millis(1000)) < 4);
}

// Guards against a slow replica that is not detected because it reports no
// load.
TEST_CASE(
    "the service time follows the responses and excludes the waiting time") {
  ServiceTime time;
  for (int i = 0; i < 30; ++i) {
    RecordResponse(time, Millis(200), 7, 4, Millis(1));
  }
  CHECK(time.m_mean_ms == doctest::Approx(100).epsilon(0.05));
  for (int i = 0; i < 30; ++i) {
    RecordResponse(time, Millis(1000), 0, 4, Millis(1));
  }
  CHECK(time.m_mean_ms > 900);
}

TEST_CASE("prefixes match up to the first difference of the prompts") {
  PrefixHistory history;
  const std::string shared(300, 'a');
  for (const uint64_t hash : PrefixHashes(shared + std::string(800, 'x'))) {
    RecordPrefix(history, hash, Millis(1));
  }
  const std::vector<uint64_t> hashes =
      PrefixHashes(shared + std::string(800, 'y'));
  CHECK(PrefixMatch(history, hashes, Millis(1)) == doctest::Approx(2.0 / 3));
  CHECK(PrefixMatch(history, PrefixHashes("short"), Millis(1)) == 0);
}

}  // namespace bronzecross
