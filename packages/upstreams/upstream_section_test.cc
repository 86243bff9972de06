#include "upstreams/upstream_section.h"

#include <doctest/doctest.h>

namespace bronzecross {

// Guards against other VMs that keep the counts of ended requests, or an open
// breaker after it has closed.
TEST_CASE(
    "a heartbeat sets counts, breakers and reports, a later one clears them") {
  const Millis now(10'000);
  UpstreamRecords sender;
  UpstreamRecord& record = sender["e"];
  record.m_counts->m_online = 3;
  record.m_counts->m_batch = 2;
  record.m_last_report = 9;
  record.m_polled_here = true;
  record.m_reported.m_reported_at = now;
  for (int i = 0; i < 3; ++i) {
    RecordOutcome(record.m_breaker, true, now);
  }
  const std::vector<std::string> leaving = {"f"};
  UpstreamRecords receiver;
  ApplyUpstreamSection(receiver, "vm-1",
                       MakeUpstreamSection(sender, leaving, now), now);
  CHECK(SumPeers(receiver["e"], now).m_online == 3);
  CHECK(SumPeers(receiver["e"], now).m_batch == 2);
  CHECK(IsTrippedByPeer(receiver["e"], now));
  CHECK(IsProbeDue(receiver["e"], now));
  CHECK(ExternalLoad(receiver["e"].m_reported, now) == doctest::Approx(4));
  CHECK(IsReportedLeaving(receiver["f"], now));

  RecordOutcome(receiver["e"].m_breaker, false, now + Millis(1));
  CHECK_FALSE(IsTrippedByPeer(receiver["e"], now + Millis(1)));
  CHECK_FALSE(IsProbeDue(receiver["e"], now + Millis(1)));

  record = UpstreamRecord();
  ApplyUpstreamSection(receiver, "vm-1", MakeUpstreamSection(sender, {}, now),
                       now);
  CHECK(SumPeers(receiver["e"], now).m_online == 0);
  CHECK_FALSE(IsReportedLeaving(receiver["f"], now));
}

}  // namespace bronzecross
