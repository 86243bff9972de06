#include <doctest/doctest.h>

#include "cluster/cluster_view.h"
#include "cluster/vm_registration.h"

namespace bronzecross {
namespace {

VmRecord Record(const std::string& id, uint64_t incarnation) {
  VmRecord record;
  record.m_id = id;
  record.m_incarnation = incarnation;
  record.m_zone = "z";
  record.m_address = NetAddress{"127.0.0.1", 7660};
  return record;
}

KvEvent Listed(const VmRecord& record) {
  KvEvent event;
  event.m_item.m_key = VmKey(record.m_id);
  event.m_item.m_value = EncodeVmRecord(record);
  return event;
}

KvEvent Removed(const std::string& id) {
  KvEvent event;
  event.m_item.m_key = VmKey(id);
  event.m_removed = true;
  return event;
}

PeerNews News(const VmRecord& record, uint64_t sequence) {
  PeerNews news;
  news.m_sender = record;
  news.m_sequence = sequence;
  return news;
}

// Guards against renewals in proportion to the fleet.
TEST_CASE("the renewals of a large fleet stay within the store's rate") {
  CHECK(RegistrationTtl(1) == Millis(3'000));
  CHECK(RegistrationTtl(16) == Millis(3'000));
  CHECK(RegistrationTtl(63) == Millis(6'300));
  for (const int vms : {63, 300, 1'600}) {
    // Two renewals fit into a lease.
    const double renewals = vms * 2 / RegistrationTtl(vms).Seconds();
    CHECK(renewals <= 115);
  }
}

// Guards against a fleet that calls a service which is away in proportion to
// its size: 63 VMs made 440 calls a second.
TEST_CASE("attempts to renew grow rarer while the service is away") {
  CHECK(RenewalRetryPause(1, 8) <= Millis(150));
  for (const int vms : {8, 63, 1'600}) {
    Millis passed;
    int calls = 0;
    for (; passed < Millis(5'000); ++calls) {
      passed += RenewalRetryPause(calls + 1, vms);
    }
    CHECK(calls <= 14);
    // A VM is back well before its registration would end again.
    CHECK(RenewalRetryPause(100, vms) <= RegistrationTtl(vms) / 3);
  }
}

TEST_CASE("news survive encoding, and nothing else is taken for news") {
  PeerNews news = News(Record("b", 7), 9);
  news.m_breaks = {{77, 3}};
  news.m_uses = {{1, 2, 3, 1}};
  news.m_levels = {{4, -1.5, 2.5}};
  news.m_grants = {{5, 6, 0.25, 8}};
  news.m_backlogs = {{9, 10}};
  news.m_waiting_tokens = {{11, 12}};
  news.m_queues = {{13, 14}};
  news.m_jobs = {{"j1", true}, {"j2", false}};
  const std::string bytes = EncodeNews(news);
  const std::optional<PeerNews> decoded = DecodeNews(bytes);
  REQUIRE(decoded);
  CHECK(decoded->m_sender.m_id == "b");
  CHECK(decoded->m_sender.m_incarnation == 7);
  CHECK(decoded->m_sender.m_address == news.m_sender.m_address);
  CHECK(decoded->m_sequence == 9);
  CHECK(decoded->m_breaks[0].m_count == 3);
  CHECK(decoded->m_uses[0].m_batch == 3);
  CHECK(decoded->m_levels[0].m_tokens == doctest::Approx(-1.5));
  CHECK(decoded->m_levels[0].m_demand == doctest::Approx(2.5));
  CHECK(decoded->m_grants[0].m_seen_sequence == 8);
  CHECK(decoded->m_jobs[1].m_job == "j2");
  CHECK_FALSE(decoded->m_jobs[1].m_open);
  for (size_t i = 0; i < bytes.size(); ++i) {
    DecodeNews(std::string_view(bytes).substr(0, i));
    std::string spoiled = bytes;
    spoiled[i] = static_cast<char>(spoiled[i] ^ 0x55);
    DecodeNews(spoiled);
  }
  CHECK_FALSE(DecodeNews(""));
  CHECK_FALSE(DecodeNews("hello"));
}

TEST_CASE("old news and earlier incarnations never replace newer ones") {
  ClusterView view(Record("a", 1));
  const Millis now(1'000);
  CHECK(view.OnNews(News(Record("b", 5), 3), now) != nullptr);
  CHECK(view.OnNews(News(Record("b", 5), 2), now) == nullptr);
  CHECK(view.OnNews(News(Record("b", 5), 3), now) == nullptr);
  CHECK(view.OnNews(News(Record("b", 4), 9), now) == nullptr);
  CHECK(view.OnNews(News(Record("b", 6), 1), now) != nullptr);
  CHECK(view.OnNews(News(Record("a", 9), 1), now) == nullptr);
}

// An outage of the store may let every lease lapse; the VMs are still there.
TEST_CASE("a VM heard from is alive though its registration has ended") {
  ClusterView view(Record("a", 1));
  const Millis now(10'000);
  view.OnEvent(Listed(Record("b", 5)));
  CHECK(view.CountMembers(now) == 2);
  CHECK(view.OnNews(News(Record("b", 5), 1), now) != nullptr);
  view.OnEvent(Removed("b"));
  CHECK(view.IsAlive("b", 5, now + Millis(1'000)));
  CHECK(view.CountMembers(now + Millis(1'000)) == 2);
  CHECK_FALSE(view.IsAlive("b", 5, now + kHeardWindow));
  CHECK(view.CountMembers(now + kHeardWindow) == 1);
}

// Guards against jobs that wait for the end of a dead VM's registration, which
// takes 12 s where leases pause during an outage (zagorje-dvori-grown
// trouble-3).
TEST_CASE("a silent VM is lost while most others are heard") {
  ClusterView view(Record("a", 1));
  const Millis now(10'000);
  for (const char* id : {"b", "c", "d"}) {
    view.OnEvent(Listed(Record(id, 5)));
    CHECK(view.OnNews(News(Record(id, 5), 1), now) != nullptr);
  }
  const Millis later = now + Millis(4'000);
  // Nobody is heard: this VM is the one that is cut off.
  CHECK_FALSE(view.IsLost("d", 5, later));
  view.OnNews(News(Record("b", 5), 2), later);
  view.OnNews(News(Record("c", 5), 2), later);
  CHECK(view.IsLost("d", 5, later));
  CHECK(view.IsAlive("d", 5, later));
  CHECK_FALSE(view.IsLost("b", 5, later));
  CHECK_FALSE(view.IsLost("a", 1, later));
  int chosen = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string key = "job-" + std::to_string(i);
    CHECK(view.FirstHeardVmFor(key, later) != "d");
    // Limits stay where they are until the registration has ended.
    chosen += view.FirstVmFor(key, later) == "d" ? 1 : 0;
  }
  CHECK(chosen > 0);
  // One that was never heard is judged by the service alone.
  view.OnEvent(Listed(Record("e", 5)));
  CHECK_FALSE(view.IsLost("e", 5, later));
}

TEST_CASE("a restarted VM is another incarnation") {
  ClusterView view(Record("a", 1));
  view.OnEvent(Listed(Record("b", 5)));
  CHECK(view.IsAlive("b", 5, Millis(1)));
  view.OnEvent(Listed(Record("b", 6)));
  CHECK_FALSE(view.IsAlive("b", 5, Millis(1)));
  CHECK(view.IsAlive("b", 6, Millis(1)));
}

TEST_CASE("a VM knows whether the others counted it before its restart") {
  ClusterView fresh(Record("a", 5));
  fresh.OnEvent(Listed(Record("a", 5)));
  CHECK_FALSE(fresh.ReplacesEarlierSelf());
  ClusterView restarted(Record("a", 5));
  restarted.OnEvent(Listed(Record("a", 4)));
  restarted.OnEvent(Listed(Record("a", 5)));
  CHECK(restarted.ReplacesEarlierSelf());
  CHECK(restarted.IsSelfListed());
}

TEST_CASE("all VMs choose the same VM for a key, and few keys move") {
  ClusterView a(Record("a", 1));
  ClusterView b(Record("b", 1));
  for (const char* id : {"a", "b", "c", "d"}) {
    a.OnEvent(Listed(Record(id, 1)));
    b.OnEvent(Listed(Record(id, 1)));
  }
  int moved = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string key = "job-" + std::to_string(i);
    const std::string first = a.FirstVmFor(key, Millis(1));
    CHECK(first == b.FirstVmFor(key, Millis(1)));
    ClusterView smaller(Record("a", 1));
    smaller.OnEvent(Listed(Record("b", 1)));
    smaller.OnEvent(Listed(Record("c", 1)));
    moved += first != "d" && first != smaller.FirstVmFor(key, Millis(1));
  }
  CHECK(moved == 0);
}

TEST_CASE("hints are dropped if the VM is never heard") {
  ClusterView view(Record("a", 1));
  view.AddHint(Record("b", 1));
  CHECK(view.Peers().size() == 1);
  CHECK(view.CountMembers(MonotonicNow()) == 1);
  view.Expire(MonotonicNow() + Millis(60'000));
  CHECK(view.Peers().empty());
}

}  // namespace
}  // namespace bronzecross
