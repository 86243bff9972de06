#include "promises/fault_runner.h"

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include <absl/strings/str_cat.h>

#include "base/random.h"

namespace bronzecross {
namespace {

constexpr Millis kDrainWait{30'000};
constexpr double kLostShare = 0.3;
constexpr Millis kSlowStore{300};

ProxyFaults Severed() {
  ProxyFaults faults;
  faults.m_refuse = true;
  faults.m_drop_forward = true;
  faults.m_drop_backward = true;
  return faults;
}

}  // namespace

Millis WithdrawnKeys::Get(size_t workspace) const {
  absl::MutexLock lock(&m_mutex);
  return m_at[workspace];
}

FaultRunner::FaultRunner(Cluster& cluster,
                         History& history,
                         WithdrawnKeys& withdrawn,
                         int first_key,
                         int last_key)
    : m_cluster(cluster),
      m_history(history),
      m_withdrawn(withdrawn),
      m_next_key(first_key),
      m_last_key(last_key) {}

void FaultRunner::Run(const std::vector<Fault>& faults, Millis length) {
  struct Step {
    Millis m_at;
    bool m_begin;
    const Fault* m_fault;
  };
  std::vector<Step> steps;
  for (const Fault& fault : faults) {
    steps.push_back({fault.m_at, true, &fault});
    steps.push_back({fault.m_at + fault.m_duration, false, &fault});
  }
  std::stable_sort(steps.begin(), steps.end(),
                   [](const Step& left, const Step& right) {
                     return left.m_at < right.m_at;
                   });
  const Millis start = MonotonicNow();
  for (const Step& step : steps) {
    if (step.m_at >= length && step.m_begin) {
      continue;
    }
    SleepFor(start + std::min(step.m_at, length) - MonotonicNow());
    m_history.AddNote(absl::StrCat(step.m_begin ? "begin " : "end ",
                                   std::string(FaultName(step.m_fault->m_kind)),
                                   " ", step.m_fault->m_target));
    step.m_begin ? Begin(*step.m_fault) : End(*step.m_fault);
  }
  SleepFor(start + length - MonotonicNow());
  Heal();
}

void FaultRunner::PartVm(int vm,
                         const ProxyFaults& to_vm,
                         const ProxyFaults& from_vm) {
  for (int other = 0; other < m_cluster.VmCount(); ++other) {
    if (other == vm) {
      continue;
    }
    m_cluster.PeerProxy(other, vm).SetFaults(to_vm);
    m_cluster.PeerProxy(vm, other).SetFaults(from_vm);
    // New connections are refused; open ones are cut so that both sides notice
    // or, in a one-way parting, swallow bytes.
    if (to_vm.m_refuse) {
      m_cluster.PeerProxy(other, vm).CutAll();
    }
    if (from_vm.m_refuse) {
      m_cluster.PeerProxy(vm, other).CutAll();
    }
  }
}

void FaultRunner::Begin(const Fault& fault) {
  const int vm = fault.m_target % m_cluster.VmCount();
  KvFaults store;
  switch (fault.m_kind) {
    case FaultKind::kKillVm:
      m_cluster.Vm(vm).Kill();
      break;
    case FaultKind::kPauseVm:
      m_cluster.Vm(vm).Pause();
      break;
    case FaultKind::kRestartVm:
      m_cluster.Vm(vm).Signal(SIGTERM);
      break;
    case FaultKind::kPartVm:
      PartVm(vm, Severed(), Severed());
      break;
    case FaultKind::kPartVmOneWay: {
      ProxyFaults swallow;
      swallow.m_drop_forward = true;
      PartVm(vm, swallow, ProxyFaults());
      break;
    }
    case FaultKind::kPartVmFromStore:
      m_cluster.StoreProxy(vm).SetFaults(Severed());
      m_cluster.StoreProxy(vm).CutAll();
      break;
    case FaultKind::kStoreOutage:
      store.m_outage = true;
      m_cluster.Kv().SetFaults(store);
      break;
    case FaultKind::kStoreSlow:
      store.m_delay = kSlowStore;
      m_cluster.Kv().SetFaults(store);
      break;
    case FaultKind::kStoreLosesAnswers:
      store.m_lose_answers = kLostShare;
      m_cluster.Kv().SetFaults(store);
      break;
    case FaultKind::kCrashEngine:
      m_cluster.Engine(static_cast<size_t>(fault.m_target)).Crash();
      break;
    case FaultKind::kCrashRequest:
      SendCrashRequest(vm);
      break;
    case FaultKind::kWithdrawKey:
      WithdrawNextKey();
      break;
    case FaultKind::kRacingPublishers:
      RacePublishers();
      break;
  }
}

void FaultRunner::End(const Fault& fault) {
  const int vm = fault.m_target % m_cluster.VmCount();
  switch (fault.m_kind) {
    case FaultKind::kKillVm:
      m_cluster.StartVm(vm);
      break;
    case FaultKind::kPauseVm:
      m_cluster.Vm(vm).Resume();
      break;
    case FaultKind::kRestartVm:
      if (m_cluster.Vm(vm).Wait(kDrainWait) != 0) {
        m_history.AddViolation(absl::StrCat(
            "graceful shutdown of ", Cluster::VmId(vm), " did not end with 0"));
        m_cluster.Vm(vm).Kill();
      }
      m_cluster.StartVm(vm);
      break;
    case FaultKind::kPartVm:
    case FaultKind::kPartVmOneWay:
      PartVm(vm, ProxyFaults(), ProxyFaults());
      break;
    case FaultKind::kPartVmFromStore:
      m_cluster.StoreProxy(vm).SetFaults(ProxyFaults());
      break;
    case FaultKind::kStoreOutage:
    case FaultKind::kStoreSlow:
    case FaultKind::kStoreLosesAnswers:
      m_cluster.Kv().SetFaults(KvFaults());
      break;
    case FaultKind::kCrashEngine:
    case FaultKind::kCrashRequest:
      for (size_t i = 0; i < m_cluster.EngineCount(); ++i) {
        if (!m_cluster.Engine(i).IsRunning()) {
          m_cluster.Engine(i).Restart();
        }
      }
      break;
    case FaultKind::kWithdrawKey:
    case FaultKind::kRacingPublishers:
      break;
  }
}

// The same request crashes each engine that runs it, and its caller sends it
// again, through all VMs.
void FaultRunner::SendCrashRequest(int vm) {
  ChatRequest request;
  request.m_key = Cluster::Key(0);
  request.m_prompt =
      absl::StrCat(std::string(kCrashMark), " ", ++m_crash_requests);
  request.m_timeout = Millis(3000);
  for (int i = 0; i < m_cluster.VmCount(); ++i) {
    request.m_url = m_cluster.Url((vm + i) % m_cluster.VmCount());
    m_cluster.Caller().Chat(request);
  }
  size_t running = 0;
  for (size_t i = 0; i < m_cluster.EngineCount(); ++i) {
    running += m_cluster.Engine(i).IsRunning() ? 1 : 0;
  }
  if (running == 0) {
    m_history.AddViolation("one request crashed every engine");
  }
}

void FaultRunner::WithdrawNextKey() {
  if (m_next_key > m_last_key) {
    return;
  }
  const int key = m_next_key++;
  m_cluster.GetManifest().m_keys[static_cast<size_t>(key)].m_withdrawn = true;
  if (m_cluster.TryPublish().has_value()) {
    absl::MutexLock lock(&m_withdrawn.m_mutex);
    m_withdrawn.m_at[static_cast<size_t>(key)] = MonotonicNow();
  }
}

// Several operators publish on top of the same generation: at most one may win.
void FaultRunner::RacePublishers() {
  std::atomic<int> winners = 0;
  std::vector<std::thread> operators;
  const Result<std::optional<KvEntry>> before =
      m_cluster.Store().Get("/bronzecross/manifest");
  if (!before || !*before) {
    return;
  }
  Manifest next = m_cluster.GetManifest();
  AssignNextGeneration(m_cluster.GetManifest(), next);
  for (int i = 0; i < 4; ++i) {
    operators.emplace_back([&] {
      nlohmann::json document = ManifestToJson(next);
      document["writer"] = RandomId();
      winners += m_cluster.Store()
                         .Commit({{"/bronzecross/manifest", document.dump(),
                                   (*before)->m_mod_revision}})
                         .has_value()
                     ? 1
                     : 0;
    });
  }
  for (std::thread& thread : operators) {
    thread.join();
  }
  if (winners > 1) {
    m_history.AddViolation("two operators won the same race");
  }
  m_cluster.AdoptPublished();
}

void FaultRunner::Heal() {
  m_cluster.Kv().SetFaults(KvFaults());
  for (int vm = 0; vm < m_cluster.VmCount(); ++vm) {
    m_cluster.StoreProxy(vm).SetFaults(ProxyFaults());
    PartVm(vm, ProxyFaults(), ProxyFaults());
    m_cluster.Vm(vm).Resume();
    if (!m_cluster.Vm(vm).IsRunning()) {
      m_cluster.StartVm(vm);
    }
  }
  for (size_t i = 0; i < m_cluster.EngineCount(); ++i) {
    if (!m_cluster.Engine(i).IsRunning()) {
      m_cluster.Engine(i).Restart();
    }
  }
}

}  // namespace bronzecross
