#include <string>

#include <doctest/doctest.h>

#include "routing/prompt_prefix.h"
#include "routing/reported_load.h"
#include "routing/service_time.h"

namespace bronzecross {

// Guards against counting a request both as sent and as reported.
TEST_CASE("only load beyond the VMs' own counts, and it ages") {
  ReportedLoad load;
  NoteReport(load, 5, 5, Millis(1000));
  CHECK(OtherLoad(load, Millis(1000)) == 0);
  ReportedLoad other;
  NoteReport(other, 9, 5, Millis(1000));
  CHECK(OtherLoad(other, Millis(1000)) == doctest::Approx(4));
  CHECK(OtherLoad(other, Millis(2000)) == doctest::Approx(2));
  CHECK(OtherLoad(other, Millis(3000)) == 0);
}

// Guards against a replica that is never used because its report is false.
TEST_CASE("a false report loses its weight by fast answers") {
  ReportedLoad load;
  NoteReport(load, 1000, 0, Millis(1000));
  for (int i = 0; i < 30; ++i) {
    NoteAnswerTime(load, 100, 100, 4);
  }
  CHECK(OtherLoad(load, Millis(1000)) < 4);
}

// Guards against a slow replica that stays hidden behind an idle report.
TEST_CASE("a changed speed is learned from answers, without the waiting time") {
  ServiceTime time;
  for (int i = 0; i < 30; ++i) {
    NoteAnswer(time, Millis(200), 7, 4, Millis(1));
  }
  CHECK(time.m_mean_ms == doctest::Approx(100).epsilon(0.05));
  for (int i = 0; i < 30; ++i) {
    NoteAnswer(time, Millis(1000), 0, 4, Millis(1));
  }
  CHECK(time.m_mean_ms > 900);
}

TEST_CASE("a prefix matches as far as prompts agree") {
  PrefixMemory memory;
  const std::string shared(300, 'a');
  for (const uint64_t hash : PrefixHashes(shared + std::string(800, 'x'))) {
    NotePrefix(memory, hash, Millis(1));
  }
  const std::vector<uint64_t> hashes =
      PrefixHashes(shared + std::string(800, 'y'));
  CHECK(PrefixMatch(memory, hashes, Millis(1)) == doctest::Approx(2.0 / 3));
  CHECK(PrefixMatch(memory, PrefixHashes("short"), Millis(1)) == 0);
}

}  // namespace bronzecross
