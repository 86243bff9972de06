// A rolling restart of all VMs under load. The callers behave like a balancer:
// they choose among the VMs whose readiness held at the last check, and keep
// their connections. Two more callers stick to one VM each, ready or not, and
// use their connection rarely.

#include <signal.h>

#include <atomic>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "base/random.h"
#include "harness/cluster.h"
#include "measure/measurement.h"

namespace bronzecross {
namespace {

constexpr int kVms = 5;
constexpr int kCallers = 12;
constexpr int kStickyCallers = 2;
constexpr Millis kReadinessCheck{100};
constexpr Millis kStickyPause{700};

struct Counts {
  std::atomic<int64_t> m_requests = 0;
  // A connection lost after a byte of the request was sent.
  std::atomic<int64_t> m_cut = 0;
  // An answer that is whole but wrong.
  std::atomic<int64_t> m_lost = 0;
  // No connection, or an error answer.
  std::atomic<int64_t> m_refused = 0;
};

struct Target {
  std::string m_url;
  std::string m_admin_url;
  bool m_ready = false;
};

class Balancer {
 public:
  explicit Balancer(Cluster& cluster) : m_targets(kVms) {
    for (int vm = 0; vm < kVms; ++vm) {
      Update(cluster, vm);
    }
  }

  void Update(Cluster& cluster, int vm) {
    absl::MutexLock lock(&m_mutex);
    m_targets[static_cast<size_t>(vm)] = {cluster.Url(vm), cluster.AdminUrl(vm),
                                          true};
  }

  void CheckReadiness(TestCaller& caller) {
    for (size_t vm = 0; vm < m_targets.size(); ++vm) {
      std::string admin;
      {
        absl::MutexLock lock(&m_mutex);
        admin = m_targets[vm].m_admin_url;
      }
      const Result<HttpAnswer> answer =
          caller.Call("GET", admin + "/readyz", "", "", {}, Millis(500));
      absl::MutexLock lock(&m_mutex);
      if (m_targets[vm].m_admin_url == admin) {
        m_targets[vm].m_ready = answer && answer->m_status == 200;
      }
    }
  }

  std::string Choose(Random& random) {
    absl::MutexLock lock(&m_mutex);
    std::vector<const Target*> ready;
    for (const Target& target : m_targets) {
      if (target.m_ready) {
        ready.push_back(&target);
      }
    }
    return ready.empty() ? "" : ready[RandomBelow(random, ready.size())]->m_url;
  }

  std::string Url(size_t vm) {
    absl::MutexLock lock(&m_mutex);
    return m_targets[vm].m_url;
  }

 private:
  absl::Mutex m_mutex;
  std::vector<Target> m_targets ABSL_GUARDED_BY(m_mutex);
};

void Count(const ChatOutcome& outcome, Counts& counts) {
  ++counts.m_requests;
  if (outcome.m_status == 0) {
    ++(outcome.m_run == "not_run" ? counts.m_refused : counts.m_cut);
  } else if (outcome.m_status != 200) {
    ++counts.m_refused;
  } else if (!outcome.m_correct) {
    ++counts.m_lost;
  }
}

ChatRequest MakeRequest(Random& random) {
  ChatRequest request;
  request.m_key = Cluster::Key(0);
  request.m_prompt = "prompt " + std::to_string(RandomBelow(random, 1'000'000));
  request.m_stream = RandomBelow(random, 2) == 0;
  request.m_tokens = request.m_stream ? 200 : 8;
  return request;
}

int MeasureDrain(uint64_t seed) {
  ClusterOptions options;
  options.m_vms = kVms;
  options.m_rate_per_s = 1e6;
  options.m_burst = 1e6;
  Cluster cluster(options);
  Balancer balancer(cluster);
  Counts counts;
  Counts sticky;
  std::atomic<bool> stop = false;
  std::vector<std::thread> threads;
  threads.emplace_back([&] {
    TestCaller caller;
    while (!stop) {
      balancer.CheckReadiness(caller);
      SleepFor(kReadinessCheck);
    }
  });
  for (int i = 0; i < kCallers; ++i) {
    threads.emplace_back([&, i] {
      TestCaller caller;
      Random random(seed + static_cast<uint64_t>(i));
      while (!stop) {
        ChatRequest request = MakeRequest(random);
        request.m_url = balancer.Choose(random);
        Count(caller.Chat(request), counts);
        SleepFor(Millis(static_cast<int64_t>(RandomBelow(random, 20))));
      }
    });
  }
  for (int i = 0; i < kStickyCallers; ++i) {
    threads.emplace_back([&, i] {
      TestCaller caller;
      Random random(seed + 1000 + static_cast<uint64_t>(i));
      while (!stop) {
        ChatRequest request = MakeRequest(random);
        request.m_tokens = 4;
        request.m_url = balancer.Url(static_cast<size_t>(i));
        Count(caller.Chat(request), sticky);
        SleepFor(kStickyPause);
      }
    });
  }
  int bad_exits = 0;
  double slowest_ms = 0;
  for (int vm = 0; vm < kVms; ++vm) {
    const Millis start = MonotonicNow();
    cluster.Vm(vm).Signal(SIGTERM);
    bad_exits += cluster.Vm(vm).Wait(Millis(20'000)) != 0 ? 1 : 0;
    slowest_ms = std::max(
        slowest_ms, static_cast<double>((MonotonicNow() - start).count()));
    cluster.StartVm(vm);
    bad_exits += cluster.WaitReady(vm) ? 0 : 1;
    balancer.Update(cluster, vm);
  }
  stop = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::printf(
      "measure drain cut=%lld lost=%lld refused=%lld requests=%lld "
      "sticky_cut=%lld sticky_lost=%lld sticky_refused=%lld "
      "sticky_requests=%lld bad_exits=%d slowest_ms=%.0f\n",
      static_cast<long long>(counts.m_cut),
      static_cast<long long>(counts.m_lost),
      static_cast<long long>(counts.m_refused),
      static_cast<long long>(counts.m_requests),
      static_cast<long long>(sticky.m_cut),
      static_cast<long long>(sticky.m_lost),
      static_cast<long long>(sticky.m_refused),
      static_cast<long long>(sticky.m_requests), bad_exits, slowest_ms);
  return 0;
}

const MeasurementRegistration kRegistration("drain", MeasureDrain);

}  // namespace
}  // namespace bronzecross
