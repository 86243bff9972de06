#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

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

GossipMessage Gossip(const VmRecord& record, uint64_t sequence) {
  GossipMessage gossip;
  gossip.m_sender = record;
  gossip.m_sequence = sequence;
  return gossip;
}

// Guards against lease renewals that grow in proportion to the fleet.
TEST_CASE("the renewals of a large fleet stay within the store's rate") {
  CHECK(RegistrationTtl(1) == Millis(3'000));
  CHECK(RegistrationTtl(16) == Millis(3'000));
  CHECK(RegistrationTtl(63) == Millis(6'300));
  // A fleet that starts all at once doesn't register twice.
  CHECK_FALSE(ShouldReplaceLease(Millis(3'000), Millis(5'000), 80));
  CHECK(ShouldReplaceLease(Millis(3'000), Millis(70'000), 80));
  CHECK(ShouldReplaceLease(Millis(3'000), Millis(5'000), 1'600));
  CHECK(ShouldReplaceLease(Millis(8'000), Millis(5'000), 16));
  CHECK_FALSE(ShouldReplaceLease(Millis(8'000), Millis(70'000), 80));
  for (const int vms : {63, 300, 1'600}) {
    // Each VM renews twice per lease.
    const double renewals = vms * 2 / RegistrationTtl(vms).Seconds();
    CHECK(renewals <= 115);
  }
}

// Guards against retries that grow in proportion to the fleet while the service
// is unreachable: 63 VMs made 440 calls a second.
TEST_CASE("renewal retries back off while the service is unreachable") {
  CHECK(RenewalRetryPause(1, 8) <= Millis(150));
  for (const int vms : {8, 63, 1'600}) {
    Millis passed;
    int calls = 0;
    for (; passed < Millis(5'000); ++calls) {
      passed += RenewalRetryPause(calls + 1, vms);
    }
    CHECK(calls <= 14);
    // The longest pause is a fraction of a lease, so that a VM renews in time
    // after the outage.
    CHECK(RenewalRetryPause(100, vms) <= RegistrationTtl(vms) / 3);
  }
}

TEST_CASE("gossip is decoded as encoded, and malformed messages are rejected") {
  GossipMessage gossip = Gossip(Record("b", 7), 9);
  gossip.m_request_reports = {
      {77, Millis(5), {{1, Millis(2), Millis(3), true, false}}}, {78, {}, {}}};
  gossip.m_uses = {{1, 2, 3, 1}};
  gossip.m_levels = {{4, -1.5, 2.5}};
  gossip.m_grants = {{5, 6, 0.25, 8}};
  gossip.m_backlogs = {{9, 10}};
  gossip.m_waiting_tokens = {{11, 12}};
  gossip.m_queues = {{13, 14}};
  gossip.m_jobs = {{"j1", true}, {"j2", false}};
  gossip.m_part_crashes = {{15, Millis(16), {17, 18}}, {19, Millis(), {}}};
  gossip.m_blamed_parts = {{20, Millis(21)}};
  gossip.m_exonerated_parts = {{22, Millis(23)}, {24, Millis(25)}};
  // The message is an array (0xdc) of 23 values. The prefixes at its end take
  // one byte (0x90) if there are none.
  const std::string without = EncodeGossip(gossip);
  CHECK(without.substr(0, 3) == std::string("\xdc\0\x17", 3));
  CHECK(without.back() == '\x90');
  REQUIRE(DecodeGossip(without));
  CHECK(DecodeGossip(without)->m_prefixes.empty());
  gossip.m_prefixes = {{26, 27, 28, 29}, {30, 31, 32, 0}};
  const std::string bytes = EncodeGossip(gossip);
  const std::optional<GossipMessage> decoded = DecodeGossip(bytes);
  REQUIRE(decoded);
  CHECK(decoded->m_sender.m_id == "b");
  CHECK(decoded->m_sender.m_incarnation == 7);
  CHECK(decoded->m_sender.m_address == gossip.m_sender.m_address);
  CHECK(decoded->m_sequence == 9);
  REQUIRE(decoded->m_request_reports.size() == 2);
  CHECK(decoded->m_request_reports[0].m_fingerprint == 77);
  CHECK(decoded->m_request_reports[0].m_completed_age == Millis(5));
  REQUIRE(decoded->m_request_reports[0].m_crashes.size() == 1);
  CHECK(decoded->m_request_reports[0].m_crashes[0].m_upstream_run == 1);
  CHECK(decoded->m_request_reports[0].m_crashes[0].m_age == Millis(2));
  CHECK(decoded->m_request_reports[0].m_crashes[0].m_started_age == Millis(3));
  CHECK(decoded->m_request_reports[0].m_crashes[0].m_is_trial);
  CHECK_FALSE(decoded->m_request_reports[0].m_crashes[0].m_is_first_hand);
  CHECK_FALSE(decoded->m_request_reports[1].m_completed_age);
  CHECK(decoded->m_request_reports[1].m_crashes.empty());
  CHECK(decoded->m_uses[0].m_batch == 3);
  CHECK(decoded->m_levels[0].m_tokens == doctest::Approx(-1.5));
  CHECK(decoded->m_levels[0].m_demand == doctest::Approx(2.5));
  CHECK(decoded->m_grants[0].m_seen_sequence == 8);
  CHECK(decoded->m_jobs[1].m_job == "j2");
  CHECK_FALSE(decoded->m_jobs[1].m_open);
  REQUIRE(decoded->m_part_crashes.size() == 2);
  CHECK(decoded->m_part_crashes[0].m_upstream == 15);
  CHECK(decoded->m_part_crashes[0].m_age == Millis(16));
  CHECK(decoded->m_part_crashes[0].m_parts == std::vector<uint32_t>{17, 18});
  CHECK(decoded->m_part_crashes[1].m_parts.empty());
  CHECK(decoded->m_blamed_parts[0].m_age == Millis(21));
  REQUIRE(decoded->m_exonerated_parts.size() == 2);
  CHECK(decoded->m_exonerated_parts[1].m_part == 24);
  REQUIRE(decoded->m_prefixes.size() == 2);
  CHECK(decoded->m_prefixes[0].m_prefix == 27);
  CHECK(decoded->m_prefixes[0].m_tokens_behind == 29);
  CHECK(decoded->m_prefixes[1].m_engine == 30);
  CHECK(decoded->m_prefixes[1].m_tokens == 32);
  CHECK(GossipForOtherGroups(gossip).m_prefixes.empty());
  for (size_t i = 0; i < bytes.size(); ++i) {
    DecodeGossip(std::string_view(bytes).substr(0, i));
    std::string corrupted = bytes;
    corrupted[i] = static_cast<char>(corrupted[i] ^ 0x55);
    DecodeGossip(corrupted);
  }
  CHECK_FALSE(DecodeGossip(""));
  CHECK_FALSE(DecodeGossip("hello"));
}

// Guards against messages that grow although the deployment has none of the
// figures, against messages without the list, and against reading beyond the
// uses.
TEST_CASE("machine reports and tokens travel only where there are any") {
  constexpr size_t kUseFigures = 21;  // position in the message
  GossipMessage gossip = Gossip(Record("b", 7), 9);
  gossip.m_uses = {{1, 2, 3, 1, 24}, {4, 1, 0, 0, 25}};
  const std::string without = EncodeGossip(gossip);
  nlohmann::json plain = nlohmann::json::from_msgpack(without);
  CHECK(plain.size() == kUseFigures + 2);
  CHECK(plain[kUseFigures] == nlohmann::json::array());
  REQUIRE(DecodeGossip(without));
  CHECK(DecodeGossip(without)->m_uses[1].m_machine_percent == 0);
  gossip.m_uses[1].m_machine_percent = 250;
  gossip.m_uses[1].m_machine_age = Millis(430);
  gossip.m_uses[1].m_tokens = 71'000;
  const std::string bytes = EncodeGossip(gossip);
  const std::optional<GossipMessage> decoded = DecodeGossip(bytes);
  REQUIRE(decoded);
  CHECK(decoded->m_uses[0].m_machine_percent == 0);
  CHECK(decoded->m_uses[0].m_tokens == 0);
  CHECK(decoded->m_uses[1].m_machine_percent == 250);
  CHECK(decoded->m_uses[1].m_machine_age == Millis(430));
  CHECK(decoded->m_uses[1].m_tokens == 71'000);
  for (size_t i = 0; i < bytes.size(); ++i) {
    for (int bit = 0; bit < 8; ++bit) {
      std::string corrupted = bytes;
      corrupted[i] = static_cast<char>(corrupted[i] ^ (1 << bit));
      DecodeGossip(corrupted);
    }
  }
  nlohmann::json message = nlohmann::json::from_msgpack(bytes);
  for (const nlohmann::json& row :
       {nlohmann::json{2, 100, 0, 0}, nlohmann::json{-1, 100, 0, 0},
        nlohmann::json{0, 1.5, 0, 0}, nlohmann::json{0, 100, 0}}) {
    message[kUseFigures] = row;
    std::string odd;
    nlohmann::json::to_msgpack(message, odd);
    CHECK_FALSE(DecodeGossip(odd));
  }
  message[kUseFigures] = nlohmann::json{0, INT64_MAX, INT64_MAX, INT64_MIN};
  std::string large;
  nlohmann::json::to_msgpack(message, large);
  REQUIRE(DecodeGossip(large));
  CHECK(DecodeGossip(large)->m_uses[0].m_tokens == 0);
  for (const size_t size : {kUseFigures, plain.size() - 1, plain.size() + 1}) {
    nlohmann::json resized = plain;
    resized.get_ref<nlohmann::json::array_t&>().resize(size,
                                                       nlohmann::json::array());
    std::string odd;
    nlohmann::json::to_msgpack(resized, odd);
    CHECK_FALSE(DecodeGossip(odd));
  }
  plain.back() = nlohmann::json{1, 2, 3};  // no whole row of prefixes
  std::string odd_prefixes;
  nlohmann::json::to_msgpack(plain, odd_prefixes);
  CHECK_FALSE(DecodeGossip(odd_prefixes));
}

TEST_CASE("older gossip and earlier incarnations are ignored") {
  ClusterView view(Record("a", 1));
  const Millis now(1'000);
  CHECK(view.OnGossip(Gossip(Record("b", 5), 3), now) != nullptr);
  CHECK(view.OnGossip(Gossip(Record("b", 5), 2), now) == nullptr);
  CHECK(view.OnGossip(Gossip(Record("b", 5), 3), now) == nullptr);
  CHECK(view.OnGossip(Gossip(Record("b", 4), 9), now) == nullptr);
  CHECK(view.OnGossip(Gossip(Record("b", 6), 1), now) != nullptr);
  CHECK(view.OnGossip(Gossip(Record("a", 9), 1), now) == nullptr);
}

// Guards against live VMs that are removed because an outage of the store let
// every lease expire.
TEST_CASE("a recently seen VM is alive even if its registration has ended") {
  ClusterView view(Record("a", 1));
  const Millis now(10'000);
  view.OnEvent(Listed(Record("b", 5)));
  CHECK(view.CountMembers(now) == 2);
  CHECK(view.OnGossip(Gossip(Record("b", 5), 1), now) != nullptr);
  view.OnEvent(Removed("b"));
  CHECK(view.IsAlive("b", 5, now + Millis(1'000)));
  CHECK(view.CountMembers(now + Millis(1'000)) == 2);
  CHECK_FALSE(view.IsAlive("b", 5, now + kRecentlySeenWindow));
  CHECK(view.CountMembers(now + kRecentlySeenWindow) == 1);
}

// Guards against jobs that wait until a dead VM's registration has ended, which
// takes 12 s if leases are paused during an outage (zagorje-dvori-grown
// trouble-3).
TEST_CASE("an unresponsive VM is lost while most others are recently seen") {
  ClusterView view(Record("a", 1));
  const Millis now(10'000);
  for (const char* id : {"b", "c", "d"}) {
    view.OnEvent(Listed(Record(id, 5)));
    CHECK(view.OnGossip(Gossip(Record(id, 5), 1), now) != nullptr);
  }
  const Millis later = now + Millis(4'000);
  // No peer was recently seen: this VM itself is cut off.
  CHECK_FALSE(view.IsLost("d", 5, later));
  view.OnGossip(Gossip(Record("b", 5), 2), later);
  view.OnGossip(Gossip(Record("c", 5), 2), later);
  CHECK(view.IsLost("d", 5, later));
  CHECK(view.IsAlive("d", 5, later));
  CHECK_FALSE(view.IsLost("b", 5, later));
  CHECK_FALSE(view.IsLost("a", 1, later));
  int chosen = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string key = "job-" + std::to_string(i);
    CHECK(view.FirstResponsiveVmFor(key, later) != "d");
    // Quota owners don't change until the registration has ended.
    chosen += view.FirstVmFor(key, later) == "d" ? 1 : 0;
  }
  CHECK(chosen > 0);
  // For a VM that was never seen only its registration counts.
  view.OnEvent(Listed(Record("e", 5)));
  CHECK_FALSE(view.IsLost("e", 5, later));
}

TEST_CASE("a VM that restarts becomes another incarnation") {
  ClusterView view(Record("a", 1));
  view.OnEvent(Listed(Record("b", 5)));
  CHECK(view.IsAlive("b", 5, Millis(1)));
  view.OnEvent(Listed(Record("b", 6)));
  CHECK_FALSE(view.IsAlive("b", 5, Millis(1)));
  CHECK(view.IsAlive("b", 6, Millis(1)));
}

TEST_CASE("a VM detects that an earlier incarnation of it was registered") {
  ClusterView fresh(Record("a", 5));
  fresh.OnEvent(Listed(Record("a", 5)));
  CHECK_FALSE(fresh.ReplacesEarlierIncarnation());
  ClusterView restarted(Record("a", 5));
  restarted.OnEvent(Listed(Record("a", 4)));
  restarted.OnEvent(Listed(Record("a", 5)));
  CHECK(restarted.ReplacesEarlierIncarnation());
  CHECK(restarted.IsSelfListed());
}

TEST_CASE(
    "all VMs choose the same VM for a key, and only keys of a removed VM "
    "move") {
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

TEST_CASE("a reported VM is dropped if no gossip from it arrives") {
  ClusterView view(Record("a", 1));
  view.AddReportedVm(Record("b", 1));
  CHECK(view.Peers().size() == 1);
  CHECK(view.CountMembers(MonotonicNow()) == 1);
  view.Expire(MonotonicNow() + Millis(60'000));
  CHECK(view.Peers().empty());
}

}  // namespace
}  // namespace bronzecross
