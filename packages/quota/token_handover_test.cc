// Plays the planned restart of a quota owner in a fleet of several VM groups.

#include "quota/token_handover.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>

#include "aio/event_loop.h"
#include "aio/wait.h"
#include "base/text.h"
#include "quota/quota_manager.h"
#include "quota/quota_owner.h"

namespace bronzecross {
namespace {

// Number of VMs that splits the fleet into several VM groups.
constexpr int kVms = 24;
constexpr double kRatePerS = 100;
constexpr double kBurst = 20;

VmRecord MakeRecord(const std::string& id, uint64_t incarnation) {
  VmRecord record;
  record.m_id = id;
  record.m_incarnation = incarnation;
  record.m_zone = "z";
  record.m_address = NetAddress{"127.0.0.1", 7660};
  return record;
}

KvEvent ListingOf(const VmRecord& record, bool is_removed) {
  KvEvent event;
  event.m_removed = is_removed;
  event.m_item.m_key = VmKey(record.m_id);
  event.m_item.m_value = EncodeVmRecord(record);
  return event;
}

class Network;

// One VM with its view of the fleet.
class Vm : public QuotaOwnerClient {
 public:
  Vm(Network& network, VmRecord self)
      : m_network(network), m_cluster(self), m_quotas(m_cluster, [] {}) {
    m_quotas.SetOwnerClient(this);
    for (int i = 0; i < kVms; ++i) {
      const std::string id = Concat("vm-", i);
      if (id != self.m_id) {
        m_cluster.OnEvent(ListingOf(MakeRecord(id, 1), false));
      }
    }
    m_cluster.RefreshGroup(MonotonicNow());
  }

  Task<Status> RequestRateToken(std::string vm,
                                TokenRequest request,
                                std::string workspace) override;
  Task<> HandOverTokens(std::string vm, TokenHandover handover) override;

  Network& m_network;
  ClusterView m_cluster;
  QuotaManager m_quotas;
};

class Network {
 public:
  Network() {
    m_workspace.m_name = "workspace";
    m_workspace.m_rate_per_s = kRatePerS;
    m_workspace.m_burst = kBurst;
    m_config.m_workspaces.push_back(m_workspace);
  }

  Vm& Start(const std::string& id, uint64_t incarnation) {
    m_vms[id] = std::make_unique<Vm>(*this, MakeRecord(id, incarnation));
    return *m_vms[id];
  }
  Vm* Find(const std::string& id) {
    const auto found = m_vms.find(id);
    return found == m_vms.end() ? nullptr : found->second.get();
  }
  // Tells all VMs that `id` is listed, or no longer.
  void List(const std::string& id, uint64_t incarnation, bool is_removed) {
    for (auto vm = m_vms.begin(); vm != m_vms.end(); ++vm) {
      if (vm->first != id) {
        vm->second->m_cluster.OnEvent(
            ListingOf(MakeRecord(id, incarnation), is_removed));
      }
    }
  }

  EventLoop m_loop;
  Workspace m_workspace;
  FleetConfig m_config;
  CancelFlag m_cancel;
  std::map<std::string, std::unique_ptr<Vm>> m_vms;
  // VMs that have stopped; their tasks may still run.
  std::vector<std::unique_ptr<Vm>> m_stopped;
  int m_handovers = 0;
};

Task<Status> Vm::RequestRateToken(std::string vm,
                                  TokenRequest request,
                                  std::string) {
  Vm* owner = m_network.Find(vm);
  if (owner == nullptr ||
      !owner->m_quotas.IsOwnerReady(m_network.m_workspace)) {
    co_return Fail(ResultCode::kPeerUnavailable, "not ready");
  }
  Status admitted = co_await owner->m_quotas.AdmitForPeer(
      std::move(request), m_network.m_workspace, m_network.m_cancel);
  co_return admitted;
}

Task<> Vm::HandOverTokens(std::string vm, TokenHandover handover) {
  Vm* receiver = m_network.Find(vm);
  if (receiver != nullptr) {
    ++m_network.m_handovers;
    receiver->m_quotas.AcceptHandover(handover, m_network.m_workspace,
                                      MonotonicNow());
  }
  co_return;
}

struct Counts {
  int m_admitted = 0;
  int m_refused = 0;
};

Task<> AdmitOne(Network& network, Vm& vm, Counts& counts) {
  TokenRequest request;
  request.m_request_id = "r";
  request.m_max_wait = Millis(150);
  request.m_prompt_refusal = Millis(75);
  const Status admitted = co_await vm.m_quotas.Admit(
      std::move(request), network.m_workspace, network.m_cancel);
  ++(admitted ? counts.m_admitted : counts.m_refused);
}

// Sends requests at `per_s`, and lets the VMs refresh what they own.
Task<> SendFor(Network& network, Millis time, double per_s, Counts& counts) {
  const Millis began = MonotonicNow();
  int sent = 0;
  while (MonotonicNow() - began < time) {
    const double due = (MonotonicNow() - began).Seconds() * per_s;
    for (; sent < due; ++sent) {
      Spawn(AdmitOne(network, *network.Find("vm-asker"), counts));
    }
    for (auto vm = network.m_vms.begin(); vm != network.m_vms.end(); ++vm) {
      GossipMessage gossip;
      vm->second->m_quotas.AddToGossip(network.m_config, gossip,
                                       MonotonicNow());
    }
    co_await Sleep(Millis(5));
  }
}

struct Restart {
  Counts m_counts;
  Millis m_took;
};

Task<> PlayRestart(Network& network, std::string owner, Restart& restart) {
  const Millis began = MonotonicNow();
  co_await SendFor(network, Millis(300), 60, restart.m_counts);
  network.Find(owner)->m_quotas.HandOverAll(MonotonicNow());
  co_await SendFor(network, Millis(50), 60, restart.m_counts);
  network.m_stopped.push_back(std::move(network.m_vms[owner]));
  network.m_vms.erase(owner);
  // The list of VMs shows the stop a moment later.
  co_await SendFor(network, Millis(200), 60, restart.m_counts);
  network.List(owner, 1, true);
  co_await SendFor(network, Millis(200), 60, restart.m_counts);
  // The new incarnation has no share of the limits yet.
  network.Start(owner, 2);
  network.List(owner, 2, false);
  co_await SendFor(network, Millis(1'200), 60, restart.m_counts);
  co_await Sleep(Millis(200));
  restart.m_took = MonotonicNow() - began;
  network.m_loop.Stop();
}

// Guards against refusals inside the rate while a quota owner restarts, and
// against tokens that two VMs hold at the same time.
TEST_CASE("a planned restart of the quota owner refuses nobody") {
  Network network;
  Vm& asker = network.Start("vm-asker", 1);
  const std::string owner =
      FindQuotaOwner(asker.m_cluster, "workspace", 0, MonotonicNow());
  REQUIRE(owner != "vm-asker");
  const std::string next = FindNextQuotaOwner(asker.m_cluster, "workspace", 0,
                                              owner, MonotonicNow());
  for (const std::string& id : {owner, next}) {
    if (network.Find(id) == nullptr) {
      network.Start(id, 1);
    }
  }
  for (auto vm = network.m_vms.begin(); vm != network.m_vms.end(); ++vm) {
    vm->second->m_cluster.OnEvent(ListingOf(MakeRecord("vm-asker", 1), false));
    vm->second->m_quotas.SetShareActive(true, MonotonicNow());
  }
  Restart restart;
  Spawn(PlayRestart(network, owner, restart));
  network.m_loop.Run();
  CHECK(restart.m_counts.m_refused == 0);
  CHECK(restart.m_counts.m_admitted <=
        kRatePerS * restart.m_took.Seconds() + kBurst);
  CHECK(network.m_handovers == 2);
}

Task<> SleepAndStop(Network& network, Millis time) {
  co_await Sleep(time);
  network.m_loop.Stop();
}

// Guards against a VM that was cut off from the fleet and grants tokens for
// good because it once received some.
TEST_CASE("a handover counts for a short time only") {
  Network network;
  Vm& vm = network.Start("vm-asker", 1);
  TokenHandover handover;
  handover.m_workspace = "workspace";
  handover.m_tokens = 10;
  handover.m_from = "vm-1";
  handover.m_from_incarnation = 1;
  CHECK_FALSE(vm.m_quotas.IsOwnerReady(network.m_workspace));
  vm.m_quotas.AcceptHandover(handover, network.m_workspace, MonotonicNow());
  CHECK(vm.m_quotas.IsOwnerReady(network.m_workspace));
  Spawn(SleepAndStop(network, kHandoverValidity + Millis(50)));
  network.m_loop.Run();
  CHECK_FALSE(vm.m_quotas.IsOwnerReady(network.m_workspace));
}

// Guards against two owners: a receiver that keeps a shard although the giver
// goes on, or although the list of VMs names a third one.
TEST_CASE("a received shard is kept only while its giver is the listed owner") {
  for (const bool is_stopping : {true, false}) {
    for (const bool is_owner : {true, false}) {
      CAPTURE(is_stopping);
      CAPTURE(is_owner);
      Network network;
      Vm& vm = network.Start("vm-asker", 1);
      const std::string owner =
          FindQuotaOwner(vm.m_cluster, "workspace", 0, MonotonicNow());
      REQUIRE(owner != "vm-asker");
      TokenHandover handover;
      handover.m_workspace = "workspace";
      handover.m_tokens = 10;
      handover.m_from = is_owner ? owner : owner == "vm-1" ? "vm-2" : "vm-1";
      handover.m_from_incarnation = 1;
      handover.m_is_stopping = is_stopping;
      vm.m_quotas.AcceptHandover(handover, network.m_workspace, MonotonicNow());
      GossipMessage gossip;
      vm.m_quotas.AddToGossip(network.m_config, gossip, MonotonicNow());
      CHECK(vm.m_quotas.IsOwnerReady(network.m_workspace) ==
            (is_stopping && is_owner));
    }
  }
}

// Guards against tokens that both owners have earned for the same time.
TEST_CASE("tokens that both owners earned count once") {
  CHECK(AddHandedTokens(0, 15, 100, Millis(), 20) == doctest::Approx(15));
  CHECK(AddHandedTokens(5, 15, 100, Millis(100), 20) == doctest::Approx(10));
  CHECK(AddHandedTokens(5, 15, 100, Millis(1'000), 20) == doctest::Approx(5));
  CHECK(AddHandedTokens(15, 15, 100, Millis(), 20) == doctest::Approx(20));
  CHECK(TokensOfOneShard(12, 3) == doctest::Approx(4));
  CHECK(TokensOfOneShard(12, 0) == doctest::Approx(0));
}

}  // namespace
}  // namespace bronzecross
