// Workspace limits over six VMs under skewed and moving traffic near the rate,
// with a VM killed, one paused and the store down for part of the run. A single
// ideal token bucket is replayed over the same arrivals as the reference.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "base/random.h"
#include "harness/cluster.h"
#include "harness/percentile.h"
#include "measure/measurement.h"

namespace bronzecross {
namespace {

constexpr int kVms = 6;
constexpr int kWorkspaces = 4;
// The last workspace sends several times its rate in the overload phase.
constexpr int kOverloaded = kWorkspaces;
constexpr double kRate = 60;
constexpr double kBurst = 60;
constexpr double kLoad = 0.85;
constexpr double kOverload = 5;
constexpr int kThreads = 96;
// How long one VM stays a workspace's busiest before another is.
constexpr double kMoveMs = 1500;
constexpr double kBusiestShare = 0.8;

double NowMs() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

struct Arrival {
  double m_at_ms = 0;  // from the start of the phase
  int m_workspace = 0;
  int m_vm = 0;
};

struct Seen {
  Arrival m_arrival;
  double m_sent_ms = 0;
  double m_answered_ms = 0;
  int m_status = 0;
  bool m_has_retry_after = false;
};

// Poisson arrivals of one workspace, most of them at one VM that changes.
void AddArrivals(Random& random,
                 int workspace,
                 double per_s,
                 double length_ms,
                 std::vector<Arrival>& arrivals) {
  double at = 0;
  double next_move = 0;
  int busiest = 0;
  while (true) {
    at += -std::log(1 - RandomUnit(random)) * 1000.0 / per_s;
    if (at >= length_ms) {
      return;
    }
    for (; next_move <= at; next_move += kMoveMs) {
      busiest = static_cast<int>(RandomBelow(random, kVms));
    }
    const int vm = RandomUnit(random) < kBusiestShare
                       ? busiest
                       : static_cast<int>(RandomBelow(random, kVms));
    arrivals.push_back({at, workspace, vm});
  }
}

// Which VMs take callers' requests; a load balancer knows as much shortly after
// a VM is gone.
using Usable = std::array<std::atomic<bool>, kVms>;

std::vector<Seen> SendAll(Cluster& cluster,
                          std::vector<Arrival> arrivals,
                          const Usable& usable) {
  std::sort(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.m_at_ms < b.m_at_ms; });
  std::vector<Seen> seen(arrivals.size());
  std::atomic<size_t> next = 0;
  const double start = NowMs();
  std::vector<std::string> urls;
  for (int vm = 0; vm < kVms; ++vm) {
    urls.push_back(cluster.Url(vm) + "/desk/lookup");
  }
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (size_t at = next++; at < arrivals.size(); at = next++) {
        Seen& one = seen[at];
        one.m_arrival = arrivals[at];
        const double early = start + one.m_arrival.m_at_ms - NowMs();
        if (early > 0) {
          std::this_thread::sleep_for(
              std::chrono::duration<double, std::milli>(early));
        }
        while (!usable[static_cast<size_t>(one.m_arrival.m_vm)]) {
          one.m_arrival.m_vm = (one.m_arrival.m_vm + 1) % kVms;
        }
        one.m_sent_ms = NowMs();
        const Result<HttpAnswer> answer = cluster.Caller().Call(
            "POST", urls[static_cast<size_t>(one.m_arrival.m_vm)],
            Cluster::Key(one.m_arrival.m_workspace), "x", {}, Millis(5000));
        one.m_answered_ms = NowMs();
        if (answer) {
          one.m_status = answer->m_status;
          one.m_has_retry_after =
              !FindHeader(answer->m_headers, "Retry-After").empty();
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return seen;
}

struct Verdict {
  int64_t m_sent = 0;
  int64_t m_over = 0;
  int64_t m_wrong = 0;
  int64_t m_lost = 0;
};

// The most admissions above rate x window + burst in any window. An admission
// counts to a window only if it was sent and answered within it, so that the
// count is certain.
int64_t WorstExcess(const std::vector<const Seen*>& requests) {
  std::vector<const Seen*> admitted;
  for (const Seen* one : requests) {
    if (one->m_status == 200) {
      admitted.push_back(one);
    }
  }
  std::vector<const Seen*> by_answer = admitted;
  std::sort(by_answer.begin(), by_answer.end(),
            [](const Seen* a, const Seen* b) {
              return a->m_answered_ms < b->m_answered_ms;
            });
  double worst = 0;
  for (const Seen* first : admitted) {
    int64_t count = 0;
    for (const Seen* last : by_answer) {
      if (last->m_sent_ms < first->m_sent_ms) {
        continue;
      }
      ++count;
      const double window = last->m_answered_ms - first->m_sent_ms;
      worst = std::max(worst, static_cast<double>(count) -
                                  (kRate * window / 1000.0 + kBurst));
    }
  }
  return static_cast<int64_t>(std::ceil(worst - 1e-9));
}

Verdict Judge(const std::vector<Seen>& seen) {
  Verdict verdict;
  for (int workspace = 0; workspace < kWorkspaces; ++workspace) {
    std::vector<const Seen*> requests;
    for (const Seen& one : seen) {
      if (one.m_arrival.m_workspace == workspace) {
        requests.push_back(&one);
      }
    }
    std::sort(requests.begin(), requests.end(),
              [](const Seen* a, const Seen* b) {
                return a->m_sent_ms < b->m_sent_ms;
              });
    double tokens = kBurst;
    double last = requests.empty() ? 0 : requests.front()->m_sent_ms;
    for (const Seen* one : requests) {
      tokens =
          std::min(kBurst, tokens + (one->m_sent_ms - last) / 1000 * kRate);
      last = one->m_sent_ms;
      const bool ideal = tokens >= 1;
      tokens -= ideal ? 1 : 0;
      ++verdict.m_sent;
      verdict.m_lost += one->m_status == 0 ? 1 : 0;
      verdict.m_wrong += ideal && one->m_status == 429 ? 1 : 0;
    }
    verdict.m_over = std::max(verdict.m_over, WorstExcess(requests));
  }
  return verdict;
}

std::vector<Arrival> NearTheRate(Random& random, double length_ms) {
  std::vector<Arrival> arrivals;
  for (int workspace = 0; workspace < kWorkspaces; ++workspace) {
    AddArrivals(random, workspace, kRate * kLoad, length_ms, arrivals);
  }
  return arrivals;
}

ClusterOptions MakeOptions(const char* mode, uint64_t seed) {
  ClusterOptions options;
  options.m_vms = kVms;
  options.m_data_vms = 0;
  options.m_engines.resize(1);
  options.m_workspaces = kWorkspaces + 1;
  options.m_rate_per_s = kRate;
  options.m_burst = kBurst;
  options.m_seed = seed;
  options.m_settings = std::string("[limits]\nmode = \"") + mode + "\"\n";
  return options;
}

void SetAll(Usable& usable) {
  for (std::atomic<bool>& one : usable) {
    one = true;
  }
}

// One VM is killed and started again, one paused for a while, and the store is
// down for a while.
void InjectFaults(Cluster& cluster, Usable& usable) {
  SleepFor(Millis(3000));
  usable[5] = false;
  cluster.Vm(5).Kill();
  SleepFor(Millis(10'000));
  usable[4] = false;
  cluster.Vm(4).Pause();
  SleepFor(Millis(2500));
  cluster.Vm(4).Resume();
  SleepFor(Millis(500));
  usable[4] = true;
  KvFaults faults;
  faults.m_outage = true;
  cluster.Kv().SetFaults(faults);
  SleepFor(Millis(8000));
  cluster.Kv().SetFaults({});
}

struct Overload {
  double m_alone_p99_ms = 0;
  double m_others_p99_ms = 0;
  double m_refusal_p99_ms = 0;
  double m_refusal_cpu_us = 0;
  int64_t m_refused = 0;
  int64_t m_without_retry_after = 0;
  Verdict m_verdict;
};

double VmCpuSeconds(Cluster& cluster) {
  double total = 0;
  for (int vm = 0; vm < kVms; ++vm) {
    total += ReadUsage(cluster.Vm(vm).Pid()).m_cpu_seconds;
  }
  return total;
}

std::vector<double> Latencies(const std::vector<Seen>& seen,
                              const std::function<bool(const Seen&)>& wanted) {
  std::vector<double> latencies;
  for (const Seen& one : seen) {
    if (wanted(one)) {
      latencies.push_back(one.m_answered_ms - one.m_sent_ms);
    }
  }
  return latencies;
}

// The others' latency without and with a workspace at several times its rate.
Overload MeasureOverload(Cluster& cluster, Random& random, double length_ms) {
  Usable usable;
  SetAll(usable);
  const auto is_other = [](const Seen& one) {
    return one.m_arrival.m_workspace != kOverloaded && one.m_status == 200;
  };
  Overload overload;
  double cpu = VmCpuSeconds(cluster);
  const std::vector<Seen> alone =
      SendAll(cluster, NearTheRate(random, length_ms), usable);
  const double alone_cpu = VmCpuSeconds(cluster) - cpu;
  overload.m_alone_p99_ms = Percentile(Latencies(alone, is_other), 99);
  std::vector<Arrival> arrivals = NearTheRate(random, length_ms);
  AddArrivals(random, kOverloaded, kRate * kOverload, length_ms, arrivals);
  cpu = VmCpuSeconds(cluster);
  const std::vector<Seen> seen = SendAll(cluster, arrivals, usable);
  const double added_cpu = VmCpuSeconds(cluster) - cpu - alone_cpu;
  overload.m_others_p99_ms = Percentile(Latencies(seen, is_other), 99);
  const std::vector<double> refusals = Latencies(seen, [](const Seen& one) {
    return one.m_arrival.m_workspace == kOverloaded && one.m_status == 429;
  });
  overload.m_refusal_p99_ms = Percentile(refusals, 99);
  overload.m_refused = static_cast<int64_t>(refusals.size());
  int64_t overloaded_requests = 0;
  for (const Seen& one : seen) {
    overload.m_without_retry_after +=
        one.m_status == 429 && !one.m_has_retry_after ? 1 : 0;
    overloaded_requests += one.m_arrival.m_workspace == kOverloaded ? 1 : 0;
  }
  overload.m_refusal_cpu_us =
      added_cpu * 1e6 /
      static_cast<double>(std::max<int64_t>(overloaded_requests, 1));
  overload.m_verdict = Judge(seen);
  return overload;
}

Verdict MeasureUnderFaults(const char* mode,
                           uint64_t seed,
                           double length_ms,
                           Overload* overload) {
  Random random(seed);
  Cluster cluster(MakeOptions(mode, seed));
  // The buckets start empty; the ideal one starts full.
  SleepFor(Millis(2000));
  Usable usable;
  SetAll(usable);
  std::thread faults([&] { InjectFaults(cluster, usable); });
  const Verdict verdict =
      Judge(SendAll(cluster, NearTheRate(random, length_ms), usable));
  faults.join();
  if (overload != nullptr) {
    cluster.StartVm(5);
    cluster.WaitReady(5);
    cluster.WaitLive(kVms);
    SleepFor(Millis(1500));
    *overload = MeasureOverload(cluster, random, 4000);
  }
  return verdict;
}

double Percent(int64_t part, int64_t whole) {
  return 100.0 * static_cast<double>(part) /
         static_cast<double>(std::max<int64_t>(whole, 1));
}

int MeasureLimits(uint64_t seed) {
  // Both ways at the same time would disturb each other, so that each sees the
  // same arrivals and faults one after the other.
  constexpr double kStaticMs = 6000;
  constexpr double kSlotsMs = 25'000;
  Overload overload;
  const Verdict slots = MeasureUnderFaults("slots", seed, kSlotsMs, &overload);
  Random random(seed);
  Verdict fixed;
  {
    Cluster cluster(MakeOptions("static", seed));
    SleepFor(Millis(2000));
    Usable usable;
    SetAll(usable);
    fixed = Judge(SendAll(cluster, NearTheRate(random, kStaticMs), usable));
  }
  std::printf(
      "measure limits over_admitted=%lld wrongly_refused_pct=%.3f "
      "static_wrongly_refused_pct=%.3f sent=%lld lost=%lld "
      "overload_over_admitted=%lld overload_wrongly_refused_pct=%.3f "
      "other_alone_p99_ms=%.2f other_p99_ms=%.2f refusal_p99_ms=%.2f "
      "refusals=%lld refusals_without_retry_after=%lld "
      "overload_request_cpu_us=%.0f\n",
      static_cast<long long>(slots.m_over),
      Percent(slots.m_wrong, slots.m_sent),
      Percent(fixed.m_wrong, fixed.m_sent),
      static_cast<long long>(slots.m_sent),
      static_cast<long long>(slots.m_lost),
      static_cast<long long>(overload.m_verdict.m_over),
      Percent(overload.m_verdict.m_wrong, overload.m_verdict.m_sent),
      overload.m_alone_p99_ms, overload.m_others_p99_ms,
      overload.m_refusal_p99_ms, static_cast<long long>(overload.m_refused),
      static_cast<long long>(overload.m_without_retry_after),
      overload.m_refusal_cpu_us);
  return 0;
}

const MeasurementRegistration kRegistration("limits", MeasureLimits);

}  // namespace
}  // namespace bronzecross
