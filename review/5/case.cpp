// The end of a batch job is asked for while the store is down and is refused
// with 503. The store comes back, and the job is still open.

#include <vector>

#include "base/text.h"
#include "world.hpp"

namespace review {
namespace {

using bronzecross::Concat;
using bronzecross::MonotonicNow;
using bronzecross::SleepFor;
using nlohmann::json;

constexpr int kItems = 6;
constexpr int kEvents = 150;
constexpr Millis kStoreDownFor{4'500};
constexpr Millis kRecover{12'000};

int Play() {
  WorldOptions options;
  World world(options);
  const std::string job = "job0";
  if (world.Submit(0, job, kItems, kEvents) != 202) {
    return CannotRun("the job was not accepted");
  }
  SleepFor(Millis(1'000));
  if (HasTrouble()) {
    StoreFaults down;
    down.m_busy = true;
    world.TheStore().SetFaultsOfAll(down);
    TheRecord().Line("store", "is down: answers 503");
  }
  const Millis up_again = MonotonicNow() + kStoreDownFor;
  SleepFor(Millis(300));
  const int end = world.End(1, job);
  SleepFor(up_again - MonotonicNow());
  world.TheStore().SetFaultsOfAll(StoreFaults());
  TheRecord().Line("store", "is up");
  json page;
  int status = 0;
  int listed = 0;
  const Millis until = MonotonicNow() + kRecover + kFinish;
  while (MonotonicNow() < until && listed < kItems) {
    status = world.Read(1, job, 0, page);
    listed = status == 200 ? page.value("next", 0) : listed;
    SleepFor(Millis(1'000));
  }
  if (end == 200) {
    return Verdict(true, "the job was ended, as the client asked");
  }
  if (end != 503) {
    return CannotRun("the end was neither done nor refused");
  }
  const int body = world.ReadBody(1, job, kItems - 1);
  const int64_t now = TheRecord().Now();
  for (const Run& run : world.RunsOf(job)) {
    if (!run.m_has_ended || run.m_ended_at >= now - 5'000) {
      return CannotRun("a replica still has an item");
    }
  }
  return listed == kItems
             ? Verdict(true, "all items are listed")
             : Verdict(false, Concat("the end was refused with 503, so the "
                                     "job is open; ",
                                     listed, " of ", kItems,
                                     " items are listed, no replica has one, "
                                     "and the body of the last one gives ",
                                     body));
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, &review::Play);
}
