#include "placement/cold_state.h"

#include <doctest/doctest.h>

#include <initializer_list>

namespace bronzecross {
namespace {

constexpr ColdLimits kLimits{Millis(10'000), 22};

// Guards against upstreams of a returned zone that count as warm since the
// entry that was written during the evacuation said so.
TEST_CASE("an old entry doesn't make an upstream of a returned zone warm") {
  ColdState state;
  RecordZoneReturn(state, kLimits, Millis(100'000));
  RecordColdEntry(state, Millis(), Millis(101'000));
  CHECK(IsCold(state, kLimits, Millis(101'000)));
  // A longer time in the entry counts.
  RecordColdEntry(state, Millis(12'000), Millis(102'000));
  CHECK(IsCold(state, kLimits, Millis(113'000)));
  RecordColdEntry(state, Millis(), Millis(100'000) + kMaxEntryAge);
  CHECK_FALSE(IsCold(state, kLimits, Millis(100'000) + kMaxEntryAge));
}

TEST_CASE("an upstream without news is cold for the time of its service") {
  ColdState state;
  RecordZoneReturn(state, kLimits, Millis(100'000));
  CHECK(IsCold(state, kLimits, Millis(109'999)));
  CHECK_FALSE(IsCold(state, kLimits, Millis(110'000)));
}

TEST_CASE("a response tells at once whether an upstream is cold") {
  ColdState state;
  RecordColdEntry(state, Millis(), Millis(1'000));
  CHECK_FALSE(IsCold(state, kLimits, Millis(1'000)));
  RecordColdResponse(state, Millis(4'000), Millis(1'000));
  // An entry from before that arrives now.
  RecordColdEntry(state, Millis(), Millis(1'500));
  CHECK(IsCold(state, kLimits, Millis(4'999)));
  RecordColdResponse(state, Millis(), Millis(5'000));
  CHECK_FALSE(IsCold(state, kLimits, Millis(5'000)));
  RecordColdEntry(state, Millis(2'000), Millis(9'000));
  CHECK(IsCold(state, kLimits, Millis(10'999)));
  CHECK_FALSE(IsCold(state, kLimits, Millis(11'000)));
}

// Guards against a changed behaviour where the configuration asks for nothing.
TEST_CASE("upstreams of a service without a cold time or rate are never cold") {
  for (const ColdLimits& limits : {ColdLimits(), ColdLimits{Millis(10'000), 0},
                                   ColdLimits{Millis(), 22}}) {
    ColdState state;
    RecordZoneReturn(state, limits, Millis(1'000));
    RecordColdEntry(state, Millis(5'000), Millis(1'000));
    CHECK_FALSE(IsCold(state, limits, Millis(1'000)));
  }
}

}  // namespace
}  // namespace bronzecross
