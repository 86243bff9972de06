#include <doctest/doctest.h>

#include "dispatch/request_evidence.h"

namespace bronzecross {
namespace {

constexpr Millis kStart{100'000};

RequestCrash MakeCrash(uint32_t upstream,
                       Millis at,
                       Millis started,
                       bool is_trial = false) {
  return {.m_upstream_run = upstream,
          .m_at = at,
          .m_started = started,
          .m_is_trial = is_trial,
          .m_is_own = true,
          .m_is_first_hand = true};
}

// Three crashes, one each second, of runs that took half a second.
RequestEvidence MakeBlocked() {
  RequestEvidence evidence;
  for (uint32_t i = 0; i < 3; ++i) {
    const Millis at = kStart + Millis(1'000) * i;
    AddCrash(evidence, MakeCrash(i, at, at - Millis(500)));
  }
  return evidence;
}

TEST_CASE("crashes of runs that began before a complete response don't count") {
  RequestEvidence evidence = MakeBlocked();
  REQUIRE(IsBlocked(evidence));
  AddCompletion(evidence, kStart + Millis(800));
  CHECK_FALSE(IsBlocked(evidence));
  CHECK(evidence.m_crashes.size() == 1);
  // One that is reported late.
  AddCrash(evidence, MakeCrash(7, kStart + Millis(1'100), kStart));
  CHECK(evidence.m_crashes.size() == 1);
  AddCrash(evidence,
           MakeCrash(8, kStart + Millis(1'100), kStart + Millis(900)));
  CHECK(evidence.m_crashes.size() == 2);
}

// Guards against a common request that is blocked because one crash broke many
// of its runs, at several VMs.
TEST_CASE("what one crash breaks counts once") {
  RequestEvidence evidence;
  for (int i = 0; i < 20; ++i) {
    AddCrash(evidence, MakeCrash(1, kStart + Millis(100) * i, kStart));
  }
  CHECK(evidence.m_crashes.size() == 1);
  AddCrash(evidence, MakeCrash(2, kStart, kStart));
  CHECK(evidence.m_crashes.size() == 2);
  // A run that began later, before the entry of the upstream changed.
  AddCrash(evidence,
           MakeCrash(1, kStart + Millis(1'600), kStart + Millis(1'500)));
  CHECK(evidence.m_crashes.size() == 3);
  // Reported in the other order.
  RequestEvidence reversed;
  AddCrash(reversed,
           MakeCrash(1, kStart + Millis(1'600), kStart + Millis(1'500)));
  AddCrash(reversed, MakeCrash(1, kStart, kStart - Millis(500)));
  CHECK(reversed.m_crashes.size() == 2);
}

// Guards against times that grow each time that a VM passes them on.
TEST_CASE("only the VM that saw a crash says when its run began") {
  RequestEvidence evidence;
  AddCrash(evidence, MakeCrash(1, kStart, kStart - Millis(500)));
  RequestCrash passed_on = MakeCrash(1, kStart + Millis(5), kStart);
  passed_on.m_is_own = false;
  passed_on.m_is_first_hand = false;
  AddCrash(evidence, passed_on);
  CHECK(evidence.m_crashes[0].m_started == kStart - Millis(500));
  passed_on.m_is_first_hand = true;
  AddCrash(evidence, passed_on);
  CHECK(evidence.m_crashes[0].m_started == kStart);
}

TEST_CASE("trials are rare, and rarer with each that ends in a crash") {
  RequestEvidence evidence;
  CHECK_FALSE(FindTrialWindow(evidence, kStart));
  evidence = MakeBlocked();
  Millis last = kStart + Millis(2'000);
  for (const int64_t pause : {5'000, 30'000, 600'000, 3'600'000, 3'600'000}) {
    CAPTURE(pause);
    CHECK_FALSE(FindTrialWindow(evidence, last));
    CHECK_FALSE(FindTrialWindow(evidence, last + Millis(pause)));
    CHECK(FindTrialWindow(evidence, last + Millis(pause + 1'000)) == 0);
    CHECK_FALSE(FindTrialWindow(evidence, last + Millis(pause + 5'000)));
    CHECK_FALSE(FindTrialWindow(evidence, last + Millis(pause + 10'000)));
    CHECK(FindTrialWindow(evidence, last + Millis(pause + 31'000)) == 3);
    last += Millis(pause + 1'000);
    AddCrash(evidence,
             MakeCrash(static_cast<uint32_t>(pause), last, last, true));
  }
  for (int i = 0; i < 20; ++i) {
    const Millis at = last + Millis(10'000) * i;
    AddCrash(evidence, MakeCrash(1'000 + static_cast<uint32_t>(i), at, at));
  }
  CHECK(evidence.m_crashes.size() == kMaxCrashes);
  CHECK(CountFailedTrials(evidence) == 5);
}

}  // namespace
}  // namespace bronzecross
