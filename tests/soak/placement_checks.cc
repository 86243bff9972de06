#include "soak/placement_checks.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string_view>

#include "base/text.h"
#include "soak/soak_placement.h"

namespace bronzecross {
namespace {

// A VM is in touch when nothing has disturbed it for this long.
constexpr Millis kInTouchAfter{4'000};

constexpr Millis kColdWindow{1'000};
constexpr Millis kColdTime{static_cast<int64_t>(kSoakColdSeconds * 1'000)};

using VmsByRequest = std::map<std::string_view, int>;

VmsByRequest MapVms(const SoakHistory& history) {
  VmsByRequest vms;
  for (const SoakCall& call : history.m_calls) {
    vms[call.m_id] = call.m_vm;
  }
  return vms;
}

// Whether the VM that sent the run was in touch throughout [from, to]. Any VM
// may have sent an item of a batch job, so all of them count for it.
bool IsSenderInTouch(const SoakHistory& history,
                     const VmsByRequest& vms,
                     const ReplicaRun& run,
                     Millis from,
                     Millis to) {
  const auto found = vms.find(run.m_request_id);
  const int vm = found == vms.end() ? -1 : found->second;
  return !IsExcused(history.m_faults, vm, from - kInTouchAfter, to);
}

bool IsEvacuation(const FaultSpan& fault) {
  return fault.m_place == FaultPlace::kOperator &&
         fault.m_name == kEvacuateFault;
}

// An entry that is written again, and a way that delays requests, change when
// an engine counts as cold and how closely requests arrive.
bool IsEngineDisturbed(const SoakHistory& history,
                       int engine,
                       Millis from,
                       Millis to) {
  return std::any_of(history.m_faults.begin(), history.m_faults.end(),
                     [&](const FaultSpan& fault) {
                       return fault.m_place == FaultPlace::kEngine &&
                              fault.m_target == engine && fault.m_from <= to &&
                              fault.m_to >= from;
                     });
}

// Returns the highest number of `times`, which are sorted, in any window.
size_t CountBusiestWindow(const std::vector<Millis>& times) {
  size_t busiest = 0;
  std::deque<Millis> window;
  for (const Millis& time : times) {
    window.push_back(time);
    while (window.front() <= time - kColdWindow) {
      window.pop_front();
    }
    busiest = std::max(busiest, window.size());
  }
  return busiest;
}

// The checked times of each engine while it is cold after `evacuation`.
std::map<int, std::vector<Millis>> ListColdRuns(const SoakHistory& history,
                                                const VmsByRequest& vms,
                                                const FaultSpan& evacuation) {
  std::map<int, std::vector<Millis>> times;
  const Millis warm = evacuation.m_to + kColdTime;
  for (const SeenRun& seen : history.m_runs) {
    const Millis at = seen.m_run.m_at;
    if (ZoneIndexOf(seen.m_engine) == evacuation.m_target &&
        at >= evacuation.m_to && at < warm &&
        IsSenderInTouch(history, vms, seen.m_run, evacuation.m_from, at)) {
      times[seen.m_engine].push_back(at);
    }
  }
  return times;
}

}  // namespace

void CheckEvacuations(const SoakHistory& history,
                      std::vector<std::string>& broken) {
  const VmsByRequest vms = MapVms(history);
  for (const FaultSpan& fault : history.m_faults) {
    if (!IsEvacuation(fault)) {
      continue;
    }
    const auto late = std::find_if(
        history.m_runs.begin(), history.m_runs.end(), [&](const SeenRun& seen) {
          const Millis at = seen.m_run.m_at;
          return ZoneIndexOf(seen.m_engine) == fault.m_target &&
                 at > fault.m_from + kSoakEvacuateBound && at < fault.m_to &&
                 IsSenderInTouch(history, vms, seen.m_run, fault.m_from, at);
        });
    if (late != history.m_runs.end()) {
      broken.push_back(Concat(late->m_run.m_request_id, " ran at engine ",
                              late->m_engine, " ",
                              (late->m_run.m_at - fault.m_from).count(),
                              " ms after its zone was evacuated"));
    }
  }
}

void CheckColdEngines(const SoakHistory& history,
                      std::vector<std::string>& broken) {
  const VmsByRequest vms = MapVms(history);
  for (const FaultSpan& fault : history.m_faults) {
    // A VM need not have learned of a shorter evacuation.
    if (!IsEvacuation(fault) ||
        fault.m_to - fault.m_from < kSoakEvacuateBound) {
      continue;
    }
    for (auto& [engine, times] : ListColdRuns(history, vms, fault)) {
      if (IsEngineDisturbed(history, engine, fault.m_from,
                            fault.m_to + kColdTime)) {
        continue;
      }
      std::sort(times.begin(), times.end());
      const size_t busiest = CountBusiestWindow(times);
      if (busiest > kSoakColdBound) {
        broken.push_back(Concat("engine ", engine, " got ", busiest,
                                " requests in ", kColdWindow.count(),
                                " ms while it was cold"));
      }
    }
  }
}

}  // namespace bronzecross
