#include "dispatch/cold_upstreams.h"

#include <doctest/doctest.h>

#include "base/text.h"
#include "dispatch/upstream.h"

namespace bronzecross {
namespace {

UpstreamPtr MakeCold(const std::string& id, const std::string& zone) {
  UpstreamEntry entry;
  entry.m_id = id;
  entry.m_zone = zone;
  entry.m_slots = 8;
  UpstreamPtr upstream = std::make_shared<Upstream>(std::move(entry));
  upstream->m_cold_limits = {Millis(60'000), 22};
  RecordZoneReturn(upstream->m_cold, upstream->m_cold_limits, MonotonicNow());
  return upstream;
}

VmRecord Record(const std::string& id, const std::string& zone) {
  VmRecord record;
  record.m_id = id;
  record.m_incarnation = 1;
  record.m_zone = zone;
  record.m_address = {"127.0.0.1", 1};
  return record;
}

// The state of the VM `self` that sees `vms` VMs in three zones.
ClusterView MakeView(int self, int vms) {
  ClusterView view(Record(Concat("vm-", self), Concat("z", self % 3)));
  std::vector<KvItem> items;
  for (int i = 0; i < vms; ++i) {
    const VmRecord record = Record(Concat("vm-", i), Concat("z", i % 3));
    items.push_back({VmKey(record.m_id), EncodeVmRecord(record), 1});
  }
  view.OnSnapshot(items);
  return view;
}

// Guards against VMs that send to a cold upstream although others do, or
// although they may no longer be registered.
TEST_CASE("few VMs become senders to a cold upstream, and only with a lease") {
  const Millis now = MonotonicNow();
  double total = 0;
  int senders = 0;
  for (int vm = 0; vm < 54; ++vm) {
    ClusterView view = MakeView(vm, 54);
    ColdUpstreams cold{PlacementSettings()};
    const UpstreamPtr upstream = MakeCold("i-1", "z1");
    cold.Watch(upstream);
    CHECK(upstream->m_cold_pacer.m_per_s == 0);
    cold.Update(view, true, now);
    total += upstream->m_cold_pacer.m_per_s;
    const bool is_sender = upstream->m_cold_pacer.m_per_s > 0;
    senders += is_sender ? 1 : 0;
    CHECK((!is_sender || vm % 3 == 1));
    CHECK(GetLoads(std::vector<UpstreamPtr>{upstream}, "z1", now)[0].m_usable ==
          false);
    cold.Update(view, false, now);
    CHECK(upstream->m_cold_pacer.m_per_s == 0);
    // The end of a registration leaves the place to another VM.
    cold.Update(view, true, now);
    view.OnEvent({KvItem{VmKey(Concat("vm-", vm)), "", 2}, true});
    cold.Update(view, true, now);
    CHECK(upstream->m_cold_pacer.m_per_s == 0);
  }
  CHECK(senders == PlanColdSends(38, 54).m_senders);
  CHECK(total > 22);
}

TEST_CASE("a cold upstream takes a request for each token") {
  const Millis now = MonotonicNow();
  const UpstreamPtr upstream = MakeCold("i-1", "z0");
  const std::vector<UpstreamPtr> upstreams = {upstream};
  SetColdRate(upstream->m_cold_pacer, 4, now);
  CandidateLoad load = GetLoads(upstreams, "z0", now + Millis(100))[0];
  CHECK(load.m_cold);
  CHECK(load.m_cold_held);
  CHECK_FALSE(load.m_usable);
  load = GetLoads(upstreams, "z0", now + Millis(250))[0];
  CHECK(load.m_cold);
  CHECK(load.m_usable);
  RecordColdSend(*upstream, now + Millis(250));
  CHECK_FALSE(GetLoads(upstreams, "z0", now + Millis(260))[0].m_usable);
  upstream->m_cold_limits = ColdLimits();
  load = GetLoads(upstreams, "z0", now + Millis(260))[0];
  CHECK(load.m_usable);
  CHECK_FALSE(load.m_cold);
}

TEST_CASE("upstreams outside the regions of a request aren't usable for it") {
  const UpstreamPtr upstream = MakeCold("i-1", "z0");
  upstream->m_cold = ColdState();
  const std::vector<UpstreamPtr> upstreams = {upstream};
  const std::vector<std::string> homes = {"x"};
  AllowedRegions allowed;
  allowed.m_of_route = homes;
  const Millis now = MonotonicNow();
  CHECK(GetLoads(upstreams, "z0", now)[0].m_usable);
  CHECK_FALSE(GetLoads(upstreams, "z0", now, allowed)[0].m_usable);
  upstream->m_region = std::string("x");
  CHECK(GetLoads(upstreams, "z0", now, allowed)[0].m_usable);
  upstream->m_evacuated = true;
  CHECK_FALSE(GetLoads(upstreams, "z0", now, allowed)[0].m_usable);
}

// Guards against callers that are sent to cold upstreams while warm ones are as
// free, that wait for nearly full warm ones while a cold one may be used, and
// that are sent to a cold one without a token.
TEST_CASE("a cold upstream is used by its rate, after warm ones as free") {
  Random random(3);
  CandidateLoad cold;
  cold.m_slots = 8;
  cold.m_cold = true;
  CandidateLoad warm = cold;
  warm.m_cold = false;
  for (int i = 0; i < 100; ++i) {
    warm.m_online = 0;
    CHECK(PickUpstream(std::vector<CandidateLoad>{cold, warm, cold}, random) ==
          1);
    warm.m_online = 3;
    CHECK(PickUpstream(std::vector<CandidateLoad>{cold, warm}, random) == 0);
  }
  warm.m_online = 7;
  cold.m_usable = false;
  CHECK(PickUpstream(std::vector<CandidateLoad>{cold, warm}, random) == 1);
  warm.m_online = 8;
  CHECK(PickUpstream(std::vector<CandidateLoad>{cold, warm}, random) ==
        std::nullopt);
}

}  // namespace
}  // namespace bronzecross
