#include "dispatch/request_evidence.h"

#include <algorithm>
#include <array>

namespace bronzecross {
namespace {

// A crash ends only runs that began before it. The slack covers a run that is
// sent while the end of its connection is on the way, and the time that gossip
// takes.
constexpr Millis kCrashSlack{100};

// Pauses before the first trials, from the last crash on, and before each
// further one. A request that does crash its upstreams costs one of them with
// each trial.
constexpr std::array<Millis, 3> kTrialPauses = {Millis(5'000), Millis(30'000),
                                                Millis(600'000)};
constexpr Millis kLongTrialPause{3'600'000};

// Interval between trial windows, and the part of it in which a trial may
// start.
constexpr Millis kWindowInterval{10'000};
constexpr Millis kWindowBegin{500};
constexpr Millis kWindowEnd{5'000};

bool IsSameCrash(const RequestCrash& a, const RequestCrash& b) {
  return a.m_upstream_run == b.m_upstream_run &&
         a.m_started <= b.m_at + kCrashSlack &&
         b.m_started <= a.m_at + kCrashSlack;
}

}  // namespace

void AddCrash(RequestEvidence& evidence, const RequestCrash& crash) {
  if (crash.m_started <= evidence.m_completed) {
    return;
  }
  for (RequestCrash& known : evidence.m_crashes) {
    if (IsSameCrash(known, crash)) {
      known.m_is_trial = known.m_is_trial || crash.m_is_trial;
      known.m_is_own = known.m_is_own || crash.m_is_own;
      if (crash.m_is_first_hand) {
        known.m_started = std::max(known.m_started, crash.m_started);
      }
      return;
    }
  }
  if (evidence.m_crashes.size() >= kMaxCrashes) {
    const auto found = std::find_if(
        evidence.m_crashes.begin(), evidence.m_crashes.end(),
        [](const RequestCrash& known) { return !known.m_is_trial; });
    evidence.m_crashes.erase(
        found == evidence.m_crashes.end() ? evidence.m_crashes.begin() : found);
  }
  evidence.m_crashes.push_back(crash);
}

void AddCompletion(RequestEvidence& evidence, Millis at) {
  evidence.m_completed = std::max(evidence.m_completed, at);
  std::erase_if(evidence.m_crashes, [&evidence](const RequestCrash& crash) {
    return crash.m_started <= evidence.m_completed;
  });
}

bool IsBlocked(const RequestEvidence& evidence) {
  return static_cast<int>(evidence.m_crashes.size()) >= kMaxRequestCrashes;
}

int CountFailedTrials(const RequestEvidence& evidence) {
  return static_cast<int>(std::count_if(
      evidence.m_crashes.begin(), evidence.m_crashes.end(),
      [](const RequestCrash& crash) { return crash.m_is_trial; }));
}

std::optional<int64_t> FindTrialWindow(const RequestEvidence& evidence,
                                       Millis now) {
  if (!IsBlocked(evidence)) {
    return std::nullopt;
  }
  Millis last;
  for (const RequestCrash& crash : evidence.m_crashes) {
    last = std::max(last, crash.m_at);
  }
  const size_t failed = static_cast<size_t>(CountFailedTrials(evidence));
  const Millis pause =
      failed < kTrialPauses.size() ? kTrialPauses[failed] : kLongTrialPause;
  const Millis open_for = now - last - pause;
  if (open_for < Millis()) {
    return std::nullopt;
  }
  const int64_t window = open_for.count() / kWindowInterval.count();
  const Millis into = open_for - kWindowInterval * window;
  return into >= kWindowBegin && into < kWindowEnd
             ? std::optional<int64_t>(window)
             : std::nullopt;
}

}  // namespace bronzecross
