#include <doctest/doctest.h>

#include <algorithm>

#include "jobs/batch_capacity.h"
#include "jobs/item_order.h"
#include "jobs/item_run.h"
#include "jobs/job.h"
#include "jobs/job_claims.h"
#include "jobs/job_ownership.h"
#include "jobs/job_record.h"
#include "jobs/job_store.h"

namespace bronzecross {
namespace {

TEST_CASE("batch items leave headroom and never exceed the slots") {
  CHECK(CountFreeBatchSlots(UpstreamCapacity{8, 2, 3}) == 2);
  CHECK(CountFreeBatchSlots(UpstreamCapacity{8, 8, 0}) == 0);
  CHECK(CountFreeBatchSlots(UpstreamCapacity{8, 9, 4}) == 0);
  CHECK(CountFreeBatchSlots(UpstreamCapacity{1, 0, 0}) == 1);
}

// Guards against batch items that hold the slots of an upstream that has turned
// slow, where each takes several times as long.
TEST_CASE("batch items avoid slow upstreams, but for a probe") {
  CandidateLoad load;
  load.m_slots = 8;
  CHECK(CountFreeBatchSlots(load) == 7);
  load.m_slow = true;
  CHECK(CountFreeBatchSlots(load) == 0);
  load.m_slow = false;
  load.m_probe = true;
  CHECK(CountFreeBatchSlots(load) == 1);
  load.m_usable = false;
  CHECK(CountFreeBatchSlots(load) == 0);
}

// Guards against items that wait at an upstream behind requests of VMs of which
// this VM doesn't hear.
TEST_CASE("batch items avoid slots that a report shows as taken") {
  CandidateLoad load;
  load.m_slots = 8;
  load.m_online = 2;
  load.m_reported_extra = 3.2;
  CHECK(CountFreeBatchSlots(load) == 1);
  load.m_reported_extra = 9;
  CHECK(CountFreeBatchSlots(load) == 0);
}

TEST_CASE("VMs share free slots in proportion to their waiting items") {
  Random random(1);
  CHECK(ShareOfFreeSlots(6, 10, 10, random) == 6);
  CHECK(ShareOfFreeSlots(6, 2, 2, random) == 2);
  CHECK(ShareOfFreeSlots(0, 10, 10, random) == 0);
  CHECK(ShareOfFreeSlots(6, 0, 10, random) == 0);
  int total = 0;
  for (int i = 0; i < 10'000; ++i) {
    total += ShareOfFreeSlots(6, 5, 40, random);
  }
  CHECK(total > 6'500);
  CHECK(total < 8'500);
}

// Guards against VMs that together preempt more or fewer items than the excess.
// All three VMs compute with the same input.
TEST_CASE("VMs together preempt exactly the excess") {
  const std::vector<VmBatchItems> batches = {{"a", 3}, {"b", 2}, {"c", 2}};
  for (int online = 1; online <= 10; ++online) {
    const UpstreamCapacity capacity{8, online, 7};
    int stopped = 0;
    for (const VmBatchItems& batch : batches) {
      stopped += CountItemsToPreempt(capacity, batch.m_vm, batches);
    }
    CHECK(stopped == std::clamp(online + 7 - 8, 0, 7));
  }
}

// Guards against a store write for each finished item, and against items that
// finish in time but are listed after their due time.
TEST_CASE("listings are rare until shortly before the due time") {
  CHECK(ListingInterval(Millis(15'000)) >= Millis(2'000));
  CHECK(ListingInterval(Millis(1'000)) <= Millis(700));
  CHECK(ListingInterval(Millis(-1'000)) <= Millis(700));
  // The last long interval ends before the due time.
  CHECK(ListingInterval(Millis(4'001)) < Millis(4'000));
}

JobSpec MakeSpec() {
  JobSpec spec;
  spec.m_id = "j1";
  spec.m_workspace = "ws";
  spec.m_route = "r";
  spec.m_host = "h";
  spec.m_submitted = Millis(5);
  spec.m_due = Millis(6);
  spec.m_retained_until = Millis(7);
  for (int i = 0; i < 3; ++i) {
    JobItem item;
    item.m_id = "i" + std::to_string(i);
    item.m_target = "/p";
    item.m_fields = {{"X-Kind", "m"}};
    item.m_body = std::string("\x00\xff\x80", 3);
    item.m_tokens = 10;
    spec.m_items.push_back(std::move(item));
  }
  return spec;
}

TEST_CASE("records survive encoding; truncated ones are rejected") {
  const std::optional<JobSpec> spec = DecodeJobSpec(EncodeJobSpec(MakeSpec()));
  REQUIRE(spec);
  CHECK(spec->m_items[2].m_body == std::string("\x00\xff\x80", 3));
  CHECK(spec->m_items[0].m_fields[0].m_value == "m");
  CHECK(spec->m_retained_until == Millis(7));
  BatchJobState state;
  state.m_owner = "vm";
  state.m_owner_incarnation = 9;
  state.m_listed = 2;
  state.m_write_id = "w";
  const std::optional<BatchJobState> read =
      DecodeJobState(EncodeJobState(state));
  REQUIRE(read);
  CHECK(read->m_owner_incarnation == 9);
  CHECK(read->m_write_id == "w");
  const std::vector<JobResult> results = {
      {"i0", JobResultState::kAbandoned, std::string("\xff\n", 2)}};
  const std::optional<std::vector<JobResult>> group =
      DecodeResultGroup(EncodeResultGroup(results));
  REQUIRE(group);
  CHECK((*group)[0].m_output == std::string("\xff\n", 2));
  for (const std::string& bytes :
       {EncodeJobSpec(MakeSpec()), EncodeJobState(state)}) {
    for (size_t i = 0; i < bytes.size(); ++i) {
      CHECK_FALSE(DecodeJobSpec(bytes.substr(0, i)));
      CHECK_FALSE(DecodeJobState(bytes.substr(0, i)));
    }
  }
}

// Guards against a takeover that loses results which its owner listed while the
// new owner read the job in several calls.
TEST_CASE("a stored job is taken over only with all its listed results") {
  BatchJobState state;
  state.m_total = 3;
  state.m_listed = 2;
  state.m_groups = 2;
  const auto group = [](const char* item) {
    return EncodeResultGroup(
        std::vector<JobResult>{{item, JobResultState::kCompleted, "x"}});
  };
  std::vector<KvItem> items(4);
  items[0].m_key = JobResultsKey("j1", 0);
  items[0].m_value = group("i0");
  items[1].m_key = JobResultsKey("j1", 1);
  items[1].m_value = group("i1");
  items[2].m_key = JobSpecKey("j1");
  items[2].m_value = EncodeJobSpec(MakeSpec());
  items[3].m_key = JobStateKey("j1");
  items[3].m_value = EncodeJobState(state);
  items[3].m_revision = 9;
  for (const KvItem& item : items) {
    CHECK(item.m_key.starts_with(JobPrefix("j1")));
  }
  const Result<JobSnapshot> whole = DecodeJobSnapshot("j1", items);
  REQUIRE(whole);
  CHECK(whole->m_results.size() == 2);
  CHECK(whole->m_results[1].m_item == "i1");
  CHECK(whole->m_state.m_revision == 9);
  CHECK(whole->m_spec.m_items.size() == 3);
  // A group that was listed after the state was read doesn't count.
  state.m_listed = 1;
  items[3].m_value = EncodeJobState(state);
  REQUIRE(DecodeJobSnapshot("j1", items));
  CHECK(DecodeJobSnapshot("j1", items)->m_results.size() == 1);
  state.m_listed = 3;
  items[3].m_value = EncodeJobState(state);
  CHECK(DecodeJobSnapshot("j1", items).error().m_code == ResultCode::kConflict);
  CHECK(DecodeJobSnapshot("j1", std::span(items).first(3)).error().m_code ==
        ResultCode::kNotFound);
  items[3].m_value = "?";
  CHECK(DecodeJobSnapshot("j1", items).error().m_code == ResultCode::kCorrupt);
}

TEST_CASE("keys of result groups sort in numeric order") {
  CHECK(JobResultsKey("j", 9) < JobResultsKey("j", 10));
  CHECK(JobResultsKey("j", 99) < JobResultsKey("j", 100));
}

int CountWaiting(const Job& job) {
  return static_cast<int>(
      std::count_if(job.m_progress.begin(), job.m_progress.end(),
                    [](const ItemProgress& progress) {
                      return progress.m_phase == BatchItemPhase::kWaiting;
                    }));
}

TEST_CASE("a job that was taken over runs only items without a listed result") {
  BatchJobState state;
  state.m_total = 3;
  const JobPtr job =
      MakeJob(MakeSpec(), state, 4, {{"i1", JobResultState::kCompleted, "x"}});
  CHECK(CountWaiting(*job) == 2);
  CHECK(CountUnfinishedTokens(*job) == 20);
  FinishItem(*job, 0, JobResultState::kCompleted);
  CHECK(CountUnfinishedTokens(*job) == 10);
  CHECK(job->m_unlisted.size() == 1);
}

// Guards against a job whose keys lie among those of another workspace's job.
TEST_CASE("ids that would change the keys of a job are invalid") {
  CHECK(IsValidJobId("7c41e09b52d6a3f8"));
  CHECK(IsValidJobId("job-1_x.y~z"));
  for (const std::string& id :
       {std::string(), std::string("a/results/000000"), std::string("a b"),
        std::string("a\n"), std::string("a\0b", 3), std::string(101, 'a')}) {
    CHECK_FALSE(IsValidJobId(id));
  }
}

// Creates the event for the record of a VM in the store.
KvEvent ListedVm(const std::string& id) {
  VmRecord record;
  record.m_id = id;
  record.m_incarnation = 1;
  record.m_zone = "z";
  record.m_address = NetAddress{"127.0.0.1", 1};
  KvEvent event;
  event.m_item.m_key = VmKey(id);
  event.m_item.m_value = EncodeVmRecord(record);
  return event;
}

bool RunsNowhere(std::string_view) {
  return false;
}

bool IsNoScanner() {
  return false;
}

TEST_CASE("a job whose owner doesn't know that it owns it isn't left lying") {
  VmRecord self;
  self.m_id = "a";
  self.m_incarnation = 2;
  ClusterView a(self);
  a.OnEvent(ListedVm("b"));
  JobClaims claims;
  claims.Record("taken-over", {"a", 2, true, 0, Millis(1)});
  claims.Record("running", {"a", 2, true, 0, Millis(1)});
  claims.Record("done", {"a", 2, false, 0, Millis(1)});
  claims.Record("elsewhere", {"b", 1, true, 0, Millis(1)});
  const std::vector<std::string> orphans =
      claims.FindOrphans(a, Millis(1), IsNoScanner,
                         [](std::string_view id) { return id == "running"; });
  CHECK(orphans == std::vector<std::string>{"taken-over"});
}

TEST_CASE("the remaining VMs divide the open jobs of a removed VM") {
  VmRecord self;
  self.m_id = "a";
  self.m_incarnation = 1;
  ClusterView a(self);
  self.m_id = "b";
  ClusterView b(self);
  for (const char* id : {"a", "b", "c"}) {
    a.OnEvent(ListedVm(id));
    b.OnEvent(ListedVm(id));
  }
  JobClaims claims;
  for (int i = 0; i < 50; ++i) {
    claims.Record("open-" + std::to_string(i), {"c", 1, true, 0, Millis(1)});
    claims.Record("done-" + std::to_string(i), {"c", 1, false, 0, Millis(1)});
  }
  CHECK(claims.FindOrphans(a, Millis(1), IsNoScanner, RunsNowhere).empty());
  KvEvent removed = ListedVm("c");
  removed.m_removed = true;
  a.OnEvent(removed);
  b.OnEvent(removed);
  const size_t at_a =
      claims.FindOrphans(a, Millis(1), IsNoScanner, RunsNowhere).size();
  const size_t at_b =
      claims.FindOrphans(b, Millis(1), IsNoScanner, RunsNowhere).size();
  CHECK(at_a + at_b == 50);
  CHECK(at_a > 0);
  CHECK(at_b > 0);
  claims.Expire(Millis(10'000), Millis(5'000));
  CHECK(claims.Find("done-1") == nullptr);
  CHECK(claims.Find("open-1") != nullptr);
}

// Creates a gossip message in which `id` announces open jobs.
GossipMessage Announcement(const std::string& id,
                           uint64_t sequence,
                           std::vector<std::string> jobs) {
  GossipMessage gossip;
  gossip.m_sender.m_id = id;
  gossip.m_sender.m_incarnation = 1;
  gossip.m_sender.m_zone = "z";
  gossip.m_sequence = sequence;
  for (std::string& job : jobs) {
    gossip.m_jobs.push_back({std::move(job), true});
  }
  return gossip;
}

// Guards against an accepted job that no VM runs, since the VM that the job's
// id selects has never heard of it.
TEST_CASE("who has answered for a job takes it over from a lost owner") {
  VmRecord self;
  self.m_id = "a";
  self.m_incarnation = 1;
  ClusterView a(self);
  a.OnEvent(ListedVm("b"));
  JobClaims claims;
  int left_to_b = 0;
  for (int i = 0; i < 20; ++i) {
    const std::string job = "job-" + std::to_string(i);
    JobClaim claim = {"lost", 1, true, 0, Millis(1)};
    claims.Record(job, claim);
    left_to_b += a.FirstResponsiveVmFor(job, Millis(1)) == "b" ? 1 : 0;
  }
  REQUIRE(left_to_b > 0);
  const auto count = [&](bool is_scanner) {
    return claims
        .FindOrphans(
            a, Millis(1), [&] { return is_scanner; }, RunsNowhere)
        .size();
  };
  CHECK(count(false) == static_cast<size_t>(20 - left_to_b));
  CHECK(count(true) == 20);
  for (int i = 0; i < 20; ++i) {
    JobClaim claim = {"lost", 1, true, 0, Millis(2)};
    claim.m_watched = true;
    claims.Record("job-" + std::to_string(i), claim);
  }
  CHECK(count(false) == 20);
}

// Guards against a job that stays with an owner that doesn't know of it.
TEST_CASE("a live owner that never announces a job loses it") {
  VmRecord self;
  self.m_id = "a";
  self.m_incarnation = 1;
  ClusterView a(self);
  JobClaims claims;
  JobClaim claim = {"b", 1, true, 0, Millis(1'000)};
  claim.m_watched = true;
  claims.Record("forgotten", claim);
  claims.Record("announced", claim);
  const auto hear = [&](uint64_t sequence, int64_t now) {
    const PeerVm* peer =
        a.OnGossip(Announcement("b", sequence, {"announced"}), Millis(now));
    REQUIRE(peer != nullptr);
    claims.OnGossip(peer->m_gossip, Millis(now));
    return claims.FindOrphans(a, Millis(now), IsNoScanner, RunsNowhere);
  };
  CHECK(hear(1, 1'100).empty());
  CHECK(hear(2, 3'900).empty());
  // Reading the stored state again doesn't grant it more time.
  claim.m_recorded = Millis(3'950);
  claims.Record("forgotten", claim);
  CHECK(hear(3, 4'100) == std::vector<std::string>{"forgotten"});
}

// Guards against VMs that take the one that announced a job last for its owner,
// although another one has taken it over since.
TEST_CASE("an outdated announcement doesn't replace the owner of a job") {
  JobClaims claims;
  claims.Record("j", {"new", 1, true, 7, Millis(1)});
  GossipMessage gossip = Announcement("old", 1, {"j"});
  gossip.m_jobs[0].m_revision = 5;
  claims.OnGossip(gossip, Millis(2));
  CHECK(claims.Find("j")->m_owner == "new");
  gossip.m_jobs[0].m_revision = 9;
  claims.OnGossip(gossip, Millis(3));
  CHECK(claims.Find("j")->m_owner == "old");
}

// Guards against an owner that acts on what it knew before a pause or a loss of
// contact, when another VM may have taken its jobs over.
TEST_CASE("ownership is uncertain after a pause until it is confirmed") {
  FleetContact contact;
  for (int64_t now = 1'000; now <= 5'000; now += 100) {
    UpdateContact(contact, true, Millis(now));
  }
  const Millis confirmed(1'200);
  CHECK(IsOwnershipCertain(contact, confirmed, Millis(5'100)));
  // Paused: even before the next check.
  CHECK_FALSE(IsOwnershipCertain(contact, confirmed, Millis(9'000)));
  UpdateContact(contact, true, Millis(9'000));
  CHECK_FALSE(IsOwnershipCertain(contact, confirmed, Millis(9'100)));
  CHECK(IsOwnershipCertain(contact, Millis(9'050), Millis(9'100)));
}

TEST_CASE("ownership without contact holds briefly after a confirmation") {
  FleetContact contact;
  UpdateContact(contact, true, Millis(1'000));
  UpdateContact(contact, false, Millis(1'100));
  CHECK_FALSE(IsOwnershipCertain(contact, Millis(0), Millis(1'150)));
  CHECK(IsOwnershipCertain(contact, Millis(1'050), Millis(1'900)));
  UpdateContact(contact, false, Millis(2'000));
  CHECK_FALSE(IsOwnershipCertain(contact, Millis(1'050), Millis(2'100)));
  UpdateContact(contact, true, Millis(2'100));
  CHECK_FALSE(IsOwnershipCertain(contact, Millis(1'050), Millis(2'150)));
}

ItemEstimate MakeEstimate(int64_t until_due, int64_t expected, int64_t done) {
  ItemEstimate estimate;
  estimate.m_until_due = Millis(until_due);
  estimate.m_expected_events = expected;
  estimate.m_events = done;
  estimate.m_event_ms = 30;
  return estimate;
}

TEST_CASE("the remaining time of an item falls as it runs, but never to zero") {
  CHECK(RemainingTime(MakeEstimate(0, 100, 0)) == Millis(3'000));
  CHECK(RemainingTime(MakeEstimate(0, 100, 50)) == Millis(1'500));
  CHECK(RemainingTime(MakeEstimate(0, 100, 130)) == Millis(750));
}

TEST_CASE("items with the least slack run first, late ones last") {
  const Millis tight = Slack(MakeEstimate(4'000, 100, 0));
  const Millis easy = Slack(MakeEstimate(15'000, 100, 0));
  const Millis late = Slack(MakeEstimate(-3'000, 100, 0));
  CHECK(RunsBefore(tight, easy));
  CHECK(RunsBefore(easy, late));
  CHECK_FALSE(RunsBefore(late, tight));
  CHECK(IsUrgent(MakeEstimate(4'000, 100, 0)));
  CHECK_FALSE(IsUrgent(MakeEstimate(15'000, 100, 0)));
  CHECK_FALSE(IsUrgent(MakeEstimate(-3'000, 100, 0)));
}

TEST_CASE("an item under which many upstreams crashed still runs again soon") {
  for (int runs = 1; runs < 1'000; ++runs) {
    CHECK(RetryDelay(runs) <= Millis(2'000));
    CHECK(RetryDelay(runs) >= RetryDelay(runs - 1));
  }
}

TEST_CASE("partial outputs of an earlier owner are restored") {
  const JobPtr job = MakeJob(MakeSpec(), BatchJobState(), 1,
                             {{"i1", JobResultState::kCompleted, "x"}});
  job->m_progress[0].m_last_event = 41;
  job->m_progress[0].m_output = "a\nb";
  job->m_progress[0].m_has_output = true;
  CHECK(CountPartialEvents(*job) == 42);
  const std::optional<std::vector<PartialOutput>> saved =
      DecodePartial(EncodePartial(CollectPartial(*job, 1'000)));
  REQUIRE(saved);
  REQUIRE(saved->size() == 1);
  CHECK(CollectPartial(*job, 2).empty());
  const JobPtr next = MakeJob(MakeSpec(), BatchJobState(), 1,
                              {{"i1", JobResultState::kCompleted, "x"}});
  std::vector<PartialOutput> outputs = *saved;
  outputs.push_back({1, 5, "listed already"});
  outputs.push_back({9, 5, "no such item"});
  ApplyPartial(*next, outputs);
  CHECK(next->m_progress[0].m_last_event == 41);
  CHECK(next->m_progress[0].m_output == "a\nb");
  CHECK(next->m_progress[1].m_output.empty());
}

// Guards against jobs that nobody takes over, as the first VM of the fleet
// isn't in a region where they may run.
TEST_CASE("each region chooses a VM for a job if regions matter") {
  VmRecord self;
  self.m_id = "a";
  self.m_incarnation = 1;
  ClusterView a(self);
  a.OnEvent(ListedVm("b"));
  JobClaims claims;
  for (int i = 0; i < 20; ++i) {
    JobClaim claim = {"lost", 1, true, 0, Millis(1)};
    claims.Record("job-" + std::to_string(i), claim);
  }
  const size_t of_fleet =
      claims.FindOrphans(a, Millis(1), IsNoScanner, RunsNowhere).size();
  CHECK(of_fleet < 20);
  CHECK(claims
            .FindOrphans(a, Millis(1), IsNoScanner, RunsNowhere,
                         [](std::string_view) { return false; })
            .size() == 20);
}

// Guards against items that take the few requests of a cold upstream while warm
// ones have free slots.
TEST_CASE("items start at warm upstreams first, and singly at cold ones") {
  Random random(1);
  CandidateLoad warm;
  warm.m_slots = 4;
  CandidateLoad cold = warm;
  cold.m_cold = true;
  const std::vector<CandidateLoad> loads = {cold, warm, cold};
  CHECK(PlanItemStarts(loads, 2, 2, random) == std::vector<int>{0, 2, 0});
  CHECK(PlanItemStarts(loads, 9, 9, random) == std::vector<int>{1, 3, 1});
  CHECK(PlanItemStarts(loads, 0, 5, random) == std::vector<int>{0, 0, 0});
}

}  // namespace
}  // namespace bronzecross
