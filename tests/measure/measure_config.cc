// How fast a publication is in force on six VMs under load, and what it costs.
// Half of the publications come while one VM lacks the store and the messages
// to another one are delayed; one VM is killed and started again among them.

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "harness/cluster.h"
#include "harness/percentile.h"
#include "measure/measurement.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr int kVms = 6;
constexpr int kCallers = 6;
constexpr int kPublications = 60;
constexpr int kKeyRounds = 6;
constexpr Millis kIdle{4000};
constexpr Millis kSpreadBound{10'000};
constexpr Millis kSlowLink{50};

// Follows one VM's generation. A VM that was started again begins with none,
// but must not show a lower one than before once it is ready.
struct Follower {
  std::atomic<int64_t> m_generation = 0;
  std::atomic<int64_t> m_reverts = 0;
  int64_t m_highest = 0;

  void Poll(Cluster& cluster, int vm) {
    const json status = cluster.Status(vm);
    if (!status.is_object() || status["ready"] != true) {
      return;
    }
    const int64_t generation = status["generation"];
    m_reverts += generation < m_highest ? 1 : 0;
    m_highest = std::max(m_highest, generation);
    m_generation = generation;
  }
};

struct Load {
  std::atomic<bool> m_stop = false;
  std::atomic<int64_t> m_requests = 0;
  std::atomic<int64_t> m_failed = 0;
  std::vector<std::thread> m_threads;
};

void StartLoad(Cluster& cluster, Load& load) {
  for (int i = 0; i < kCallers; ++i) {
    // The VM that is killed gets no load, so that each failure counts.
    const std::string url = cluster.Url(i % (kVms - 1));
    load.m_threads.emplace_back([&cluster, &load, url] {
      ChatRequest request;
      request.m_url = url;
      request.m_key = Cluster::Key(1);
      for (int64_t n = 0; !load.m_stop; ++n) {
        request.m_prompt = url + std::to_string(n);
        ++load.m_requests;
        load.m_failed += cluster.Caller().Chat(request).m_correct ? 0 : 1;
      }
    });
  }
}

// Changes one number and returns the milliseconds until the last VM follows.
double PublishOnce(Cluster& cluster, std::vector<Follower>& followers, int n) {
  cluster.GetManifest().m_workspaces[0].m_burst = 1000 + n;
  const Millis start = MonotonicNow();
  const int64_t generation = cluster.Publish();
  WaitFor(
      [&] {
        return std::all_of(followers.begin(), followers.end(),
                           [generation](const Follower& follower) {
                             return follower.m_generation >= generation;
                           });
      },
      kSpreadBound);
  return static_cast<double>((MonotonicNow() - start).count());
}

// Withdraws a key and returns the milliseconds after which it was last
// accepted on any VM, counted from before the publication.
double WithdrawOnce(Cluster& cluster, bool withdrawn) {
  std::array<std::atomic<int64_t>, kVms> last = {};
  std::atomic<bool> stop = false;
  const Millis start = MonotonicNow();
  std::vector<std::thread> callers;
  for (int vm = 0; vm < kVms; ++vm) {
    callers.emplace_back([&, vm] {
      while (!stop) {
        const Result<HttpAnswer> answer = cluster.Caller().Call(
            "GET", cluster.Url(vm) + "/v1/models", Cluster::Key(0));
        if (answer && answer->m_status == 200) {
          last[static_cast<size_t>(vm)] = (MonotonicNow() - start).count();
        }
        SleepFor(Millis(5));
      }
    });
  }
  cluster.GetManifest().m_keys[0].m_withdrawn = withdrawn;
  cluster.Publish();
  SleepFor(Millis(1500));
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  return static_cast<double>(*std::max_element(last.begin(), last.end()));
}

void SetFaults(Cluster& cluster, bool faulty) {
  ProxyFaults without_store;
  without_store.m_refuse = faulty;
  without_store.m_drop_forward = faulty;
  cluster.StoreProxy(0).SetFaults(without_store);
  cluster.StoreProxy(0).CutAll();
  ProxyFaults slow;
  slow.m_delay = faulty ? kSlowLink : Millis(0);
  for (int vm = 0; vm < kVms; ++vm) {
    if (vm != 1) {
      cluster.PeerProxy(vm, 1).SetFaults(slow);
      cluster.PeerProxy(1, vm).SetFaults(slow);
    }
  }
}

int MeasureConfig(uint64_t) {
  ClusterOptions options;
  options.m_vms = kVms;
  options.m_proxies = true;
  options.m_rate_per_s = 1e6;
  options.m_burst = 1e6;
  Cluster cluster(options);
  // What leases and the watchers' questions cost without any change.
  SleepFor(Millis(1000));
  const int64_t idle_before = cluster.Kv().Calls();
  SleepFor(kIdle);
  const double idle_per_s =
      static_cast<double>(cluster.Kv().Calls() - idle_before) / kIdle.Seconds();

  Load load;
  StartLoad(cluster, load);
  std::vector<Follower> followers(kVms);
  std::atomic<bool> stop = false;
  std::atomic<bool> paused = false;
  std::vector<std::thread> threads;
  for (int vm = 0; vm < kVms; ++vm) {
    threads.emplace_back([&, vm] {
      while (!stop) {
        // The harness changes the last VM's ports while it is started again.
        if (!paused || vm != kVms - 1) {
          followers[static_cast<size_t>(vm)].Poll(cluster, vm);
        }
        SleepFor(Millis(5));
      }
    });
  }
  std::vector<double> spread_ms;
  double calls_per_change = 0;
  for (int n = 0; n < kPublications; ++n) {
    if (n == kPublications / 2) {
      paused = true;
      SleepFor(Millis(1200));
      cluster.Vm(kVms - 1).Kill();
      SetFaults(cluster, true);
      cluster.StartVm(kVms - 1);
      cluster.WaitReady(kVms - 1);
      paused = false;
    }
    const Millis start = MonotonicNow();
    const int64_t calls = cluster.Kv().Calls();
    spread_ms.push_back(PublishOnce(cluster, followers, n));
    SleepFor(Millis(100));
    if (n < kPublications / 2) {
      calls_per_change += (static_cast<double>(cluster.Kv().Calls() - calls) -
                           idle_per_s * (MonotonicNow() - start).Seconds()) /
                          (kPublications / 2);
    }
  }
  std::vector<double> accepted_ms;
  for (int n = 0; n < kKeyRounds; ++n) {
    const bool withdrawn = n % 2 == 0;
    const double last = WithdrawOnce(cluster, withdrawn);
    if (withdrawn) {
      accepted_ms.push_back(last);
    }
  }
  stop = true;
  load.m_stop = true;
  int64_t reverts = 0;
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (std::thread& thread : load.m_threads) {
    thread.join();
  }
  for (const Follower& follower : followers) {
    reverts += follower.m_reverts;
  }
  std::printf(
      "measure config spread_p50_ms=%.0f spread_p99_ms=%.0f reverts=%lld "
      "store_calls_per_change=%.2f idle_store_calls_per_s=%.2f "
      "old_key_accepted_after_ms=%.0f publications=%d requests=%lld "
      "failed=%lld\n",
      Percentile(spread_ms, 50), Percentile(spread_ms, 99),
      static_cast<long long>(reverts), calls_per_change, idle_per_s,
      *std::max_element(accepted_ms.begin(), accepted_ms.end()), kPublications,
      static_cast<long long>(load.m_requests),
      static_cast<long long>(load.m_failed));
  return 0;
}

const MeasurementRegistration kRegistration("config", MeasureConfig);

}  // namespace
}  // namespace bronzecross
