#include "soak/run_checks.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

#include "aio/wait.h"
#include "base/text.h"
#include "soak/placement_checks.h"

namespace bronzecross {
namespace {

// The routes' limit of upstreams for one request.
constexpr size_t kMaxAttempts = 3;

// Bounds of the promises: a configuration is in force, an ended job is quiet,
// an upstream that leaves gets nothing more.
constexpr Millis kConfigBound{3'000};
constexpr Millis kCancelBound{3'000};
constexpr Millis kDrainBound{2'500};

// A VM counts as undisturbed this long after a fault.
constexpr Millis kContact{3'000};

// The rate is checked over windows of this length, with the tolerance that the
// platform grants.
constexpr Millis kRateWindow{5'000};
constexpr double kRateTolerance = 0.1;
constexpr double kRateSlack = 20;

// An upstream may get this much more time than the caller has.
constexpr int64_t kDeadlineMs = 4'000;
constexpr int64_t kDeadlineSlackMs = 500;

using RunsById = std::map<std::string, std::vector<SeenRun>>;

bool IsRepeatable(RouteUse use) {
  return use == RouteUse::kPlain || use == RouteUse::kResume;
}

bool IsPromise(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

std::string Describe(const SoakCall& call) {
  return Concat("request ", call.m_id, " at vm-", call.m_vm);
}

// When `key` stopped being valid; kNever if it still is or never was.
Millis WithdrawnAt(std::span<const KeyChange> keys, const std::string& key) {
  for (size_t i = 0; i + 1 < keys.size(); ++i) {
    if (keys[i].m_key == key) {
      return keys[i + 1].m_at;
    }
  }
  return kNever;
}

void CheckCall(const SoakHistory& history,
               const SoakCall& call,
               std::span<const SeenRun> runs,
               std::vector<std::string>& broken) {
  const size_t most = IsRepeatable(call.m_use) ? kMaxAttempts : 1;
  if (runs.size() > most) {
    broken.push_back(Concat(Describe(call), " ran ", runs.size(), " times"));
  }
  const bool is_answered = call.m_end == CallEnd::kAnswered;
  if (is_answered && IsPromise(call.m_status) && !IsRepeatable(call.m_use) &&
      !runs.empty()) {
    broken.push_back(Concat(Describe(call), " was refused with ", call.m_status,
                            " and ran"));
  }
  if (call.m_end == CallEnd::kNotSent && !runs.empty()) {
    broken.push_back(Concat(Describe(call), " wasn't sent and ran"));
  }
  if (call.m_key == "key-unknown" && !runs.empty()) {
    broken.push_back(Concat(Describe(call), " ran with an unknown key"));
  }
  if (is_answered && call.m_key == "key-b" &&
      (call.m_status == 401 || call.m_status == 429)) {
    broken.push_back(Concat(Describe(call), " got ", call.m_status,
                            " with a valid key and no limit"));
  }
  if (is_answered && call.m_status == 404) {
    broken.push_back(Concat(Describe(call), " got 404 on a route"));
  }
  const Millis withdrawn = WithdrawnAt(history.m_keys, call.m_key);
  if (withdrawn != kNever && call.m_sent > withdrawn + kConfigBound &&
      !runs.empty() &&
      !IsExcused(history.m_faults, call.m_vm, withdrawn - kContact,
                 withdrawn + kConfigBound)) {
    broken.push_back(Concat(Describe(call), " ran with a key withdrawn ",
                            (call.m_sent - withdrawn).count(), " ms before"));
  }
}

// A stop that is planned cuts nothing. `runs` are those of the call.
void CheckPlannedStop(const SoakHistory& history,
                      const SoakCall& call,
                      std::span<const SeenRun> runs,
                      std::vector<std::string>& broken) {
  if (call.m_end != CallEnd::kBroken || runs.empty()) {
    return;
  }
  bool is_stopping = false;
  for (const FaultSpan& fault : history.m_faults) {
    const bool overlaps =
        fault.m_from <= call.m_ended && fault.m_to + kContact >= call.m_sent;
    const bool is_stop = fault.m_place == FaultPlace::kVm &&
                         fault.m_target == call.m_vm && fault.m_name == "stop";
    const bool is_elsewhere =
        fault.m_place == FaultPlace::kVm && fault.m_target != call.m_vm;
    if (!overlaps || is_elsewhere || fault.m_place == FaultPlace::kOperator) {
      continue;
    }
    if (!is_stop) {
      return;
    }
    is_stopping = is_stopping || (call.m_sent >= fault.m_from - kContact &&
                                  call.m_ended <= fault.m_to);
  }
  if (is_stopping) {
    broken.push_back(Concat(Describe(call), " was cut by a planned stop"));
  }
}

void CheckRun(const SeenRun& seen,
              const std::map<std::string, const SoakCall*>& calls,
              std::vector<std::string>& broken) {
  const ReplicaRun& run = seen.m_run;
  const auto call = calls.find(run.m_request_id);
  if (call == calls.end()) {
    if (run.m_request_id.find("-item-") == std::string::npos) {
      broken.push_back(Concat("nobody sent ", run.m_request_id));
    }
    return;
  }
  const std::string workspace =
      call->second->m_key == "key-b" ? "ws-b" : "ws-a";
  if (run.m_workspace != workspace || !run.m_authorization.empty()) {
    broken.push_back(Concat(run.m_request_id, " ran for ", run.m_workspace,
                            " with key \"", run.m_authorization, "\""));
  }
  if (run.m_body != "question" || run.m_deadline_ms < 0 ||
      run.m_deadline_ms > kDeadlineMs + kDeadlineSlackMs) {
    broken.push_back(Concat(run.m_request_id, " ran with body ", run.m_body,
                            " and deadline ", run.m_deadline_ms));
  }
}

// Requests of the limited workspace, by their first run.
void CheckRate(const SoakHistory& history,
               const RunsById& runs,
               double rate_per_s,
               double burst,
               std::vector<std::string>& broken) {
  std::vector<Millis> times;
  for (const SoakCall& call : history.m_calls) {
    const auto found = runs.find(call.m_id);
    if (call.m_key != "key-b" && found != runs.end()) {
      Millis first = kNever;
      for (const SeenRun& seen : found->second) {
        first = std::min(first, seen.m_run.m_at);
      }
      times.push_back(first);
    }
  }
  std::sort(times.begin(), times.end());
  const double most =
      (rate_per_s * kRateWindow.Seconds() + burst) * (1 + kRateTolerance) +
      kRateSlack;
  std::deque<Millis> window;
  for (const Millis& time : times) {
    window.push_back(time);
    while (window.front() <= time - kRateWindow) {
      window.pop_front();
    }
    if (static_cast<double>(window.size()) > most) {
      broken.push_back(Concat(window.size(), " requests of ws-a ran in ",
                              kRateWindow.count(), " ms"));
      return;
    }
  }
}

void CheckJob(const SoakHistory& history,
              const SoakJob& job,
              const RunsById& runs,
              std::vector<std::string>& broken) {
  for (int item = 0; item < job.m_items; ++item) {
    const auto found = runs.find(Concat(job.m_id, "-item-", item));
    if (found == runs.end()) {
      continue;
    }
    if (!job.m_accepted && !job.m_may_exist) {
      broken.push_back(Concat("job ", job.m_id, " was refused and ran"));
      return;
    }
    for (const SeenRun& seen : found->second) {
      const Millis ended = job.m_end_acknowledged;
      if (ended != Millis() && seen.m_run.m_at > ended + kCancelBound &&
          !IsExcused(history.m_faults, -1, ended - kContact, seen.m_run.m_at)) {
        broken.push_back(Concat("job ", job.m_id, " ran ",
                                (seen.m_run.m_at - ended).count(),
                                " ms after its end"));
        return;
      }
    }
  }
}

void CheckLeaving(const SoakHistory& history,
                  std::vector<std::string>& broken) {
  for (const FaultSpan& fault : history.m_faults) {
    if (fault.m_place != FaultPlace::kEngine || fault.m_name != "leave") {
      continue;
    }
    const Millis from = fault.m_from + kDrainBound;
    for (const SeenRun& seen : history.m_runs) {
      if (seen.m_engine == fault.m_target && seen.m_run.m_at > from &&
          seen.m_run.m_at < fault.m_to &&
          !IsExcused(history.m_faults, -1, fault.m_from - kContact,
                     seen.m_run.m_at)) {
        broken.push_back(Concat(seen.m_run.m_request_id, " ran at engine ",
                                seen.m_engine, " ",
                                (seen.m_run.m_at - fault.m_from).count(),
                                " ms after it began to leave"));
        return;
      }
    }
  }
}

}  // namespace

bool IsExcused(std::span<const FaultSpan> faults,
               int vm,
               Millis from,
               Millis to) {
  return std::any_of(faults.begin(), faults.end(), [&](const FaultSpan& fault) {
    const bool is_ours =
        fault.m_place == FaultPlace::kStore ||
        (fault.m_place == FaultPlace::kVm && (vm < 0 || fault.m_target == vm));
    return is_ours && fault.m_from <= to && fault.m_to >= from;
  });
}

std::vector<std::string> FindBrokenPromises(const SoakHistory& history,
                                            double rate_per_s,
                                            double burst) {
  std::vector<std::string> broken;
  RunsById runs;
  for (const SeenRun& seen : history.m_runs) {
    runs[seen.m_run.m_request_id].push_back(seen);
  }
  std::map<std::string, const SoakCall*> calls;
  for (const SoakCall& call : history.m_calls) {
    calls[call.m_id] = &call;
    const std::vector<SeenRun>& own = runs[call.m_id];
    CheckCall(history, call, own, broken);
    CheckPlannedStop(history, call, own, broken);
  }
  for (const SeenRun& seen : history.m_runs) {
    CheckRun(seen, calls, broken);
  }
  for (const SoakJob& job : history.m_jobs) {
    CheckJob(history, job, runs, broken);
  }
  std::erase_if(runs, [](const RunsById::value_type& entry) {
    return entry.second.empty();
  });
  CheckRate(history, runs, rate_per_s, burst, broken);
  CheckLeaving(history, broken);
  CheckEvacuations(history, broken);
  CheckColdEngines(history, broken);
  return broken;
}

}  // namespace bronzecross
