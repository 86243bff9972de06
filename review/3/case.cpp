// The VM that owns two batch jobs stands still for some seconds while they wait
// for a free replica. Another VM takes both over; one is ended by its client,
// the other one is done. Then the first VM goes on.

#include <string>
#include <thread>
#include <vector>

#include "base/text.h"
#include "world.hpp"

namespace review {
namespace {

using bronzecross::Concat;
using bronzecross::MonotonicNow;
using bronzecross::SleepFor;
using nlohmann::json;

constexpr int kSlots = 4;
constexpr Millis kEventGap{100};
constexpr Millis kFrozenFor{4'820};  // and at most one round of reads more
// Times after the start of the freeze.
constexpr Millis kEndAt{4'000};        // the first job's end is asked for
constexpr Millis kSlotsFreeAt{4'150};  // the second job's item can run
constexpr Millis kSlotsTakenAt{4'650};
constexpr Millis kSlotsFreeAgainAt{13'000};
constexpr Millis kReadUntil{12'500};

const std::string kEnded = "jobEnded";
const std::string kDone = "jobDone";
constexpr int kEndedItems = 4;
constexpr int kEndedEvents = 20;
constexpr int kDoneEvents = 2;

// A client's stream that lasts for `duration`.
std::thread StartStream(World& world, int number, Millis duration) {
  return std::thread([&world, number, duration] {
    ClientCall call;
    call.m_vm = 1 + number % 3;
    call.m_target = "/ask/question";
    call.m_id = Concat("ask", number);
    call.m_headers = {{"Model", "m"},
                      {"Token-Count", Concat("100,", 10 * duration.count() /
                                                         kEventGap.count())}};
    call.m_deadline = Millis(15'000);
    const int status = world.Call(call).m_status;
    TheRecord().Line("client", Concat(call.m_id, ": ", status));
  });
}

int Play() {
  WorldOptions options;
  options.m_vms = 10;  // one of them is a tenth
  options.m_replicas = 1;
  options.m_replica.m_slots = kSlots;
  options.m_replica.m_event_gap = kEventGap;
  World world(options);
  const Millis lead(1'000);  // from the first stream to the freeze
  std::vector<std::thread> streams;
  for (int i = 0; i < kSlots; ++i) {
    streams.push_back(StartStream(
        world, i, lead + (i < kSlots / 2 ? kSlotsFreeAgainAt : kSlotsFreeAt)));
  }
  const Millis frozen_at = MonotonicNow() + lead;
  SleepFor(Millis(300));
  const int submitted =
      world.Submit(0, kEnded, kEndedItems, kEndedEvents) == 202 &&
      world.Submit(0, kDone, 1, kDoneEvents) == 202;
  SleepFor(frozen_at - MonotonicNow());
  if (HasTrouble()) {
    world.Stop(0);
  }
  SleepFor(frozen_at + kEndAt - MonotonicNow());
  const int end = world.End(1, kEnded);
  const int64_t acknowledged = TheRecord().Now();
  json page;
  int64_t position_read = -1;  // when position 0 of kDone was read first
  std::string missing;
  int reads = 0;
  int stale = 0;
  bool is_frozen = true;
  int64_t continued = 0;
  bool are_slots_taken = false;
  while (MonotonicNow() < frozen_at + kReadUntil) {
    const Millis now = MonotonicNow() - frozen_at;
    if (now >= kSlotsTakenAt && !are_slots_taken) {
      are_slots_taken = true;
      for (int i = kSlots; i < kSlots + kSlots / 2; ++i) {
        streams.push_back(
            StartStream(world, i, kSlotsFreeAgainAt - kSlotsTakenAt));
      }
    }
    if (now >= kFrozenFor && is_frozen) {
      is_frozen = false;
      continued = TheRecord().Now();
      if (HasTrouble()) {
        world.Continue(0);
      }
    }
    // Only at VMs that nothing disturbs.
    const int vm = 1 + reads++ % 3;
    const int64_t asked = TheRecord().Now();
    const int status = world.Read(vm, kDone, 0, page);
    const bool has_result = status == 200 && page.value("next", 0) > 0;
    if (has_result && position_read < 0) {
      position_read = TheRecord().Now();
    }
    if (status == 200 && !has_result && position_read >= 0 &&
        asked > position_read + kSettle.count()) {
      ++stale;
      missing = Concat("at vm-", vm, " ", asked - position_read,
                       " ms after it was read");
    }
    SleepFor(Millis(150));
  }
  const int64_t in_touch = continued + kContact.count();
  for (std::thread& stream : streams) {
    stream.join();
  }
  SleepFor(Millis(6'000));
  if (!submitted || end != 200 || position_read < 0) {
    return CannotRun("a job was not accepted, ended or done");
  }
  int late_runs = 0;
  for (const Run& run : world.RunsOf(kEnded)) {
    const bool is_late =
        run.m_at > acknowledged + kCancel.count() && run.m_at > in_touch;
    late_runs += is_late ? 1 : 0;
  }
  TheRecord().Line(
      "verdict",
      Concat("UNASKED: ", late_runs, " items of the ended job ran later than ",
             kCancel.count(), " ms after the acknowledgement"));
  return Verdict(stale == 0,
                 stale == 0
                     ? Concat("position 0 was there in all reads; ", late_runs,
                              " items of the ended job ran late")
                     : Concat("position 0 was missing in ", stale,
                              " reads, last ", missing, "; ", late_runs,
                              " items of the ended job ran late (UNASKED)"));
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, &review::Play);
}
