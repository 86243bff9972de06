#include <doctest/doctest.h>

#include "jobs/job_hosts.h"
#include "jobs/job_lookup.h"

namespace bronzecross {
namespace {

constexpr Millis kNow{10'000'000'000};
constexpr Millis kRetention{120'000};

KvItem MakeItem(std::string_view host, bool is_anonymous, std::string value) {
  KvItem item;
  item.m_key = JobHostKey(host, is_anonymous);
  item.m_value = std::move(value);
  return item;
}

TEST_CASE("a host may have jobs if the store lists a recent acceptance") {
  const std::vector<KvItem> items = {
      MakeItem("a.test:80", false, EncodeJobHost(kNow - Millis(60'000))),
      MakeItem("b.test", true, EncodeJobHost(kNow)),
      MakeItem("old.test", false, EncodeJobHost(kNow - Millis(86'400'000))),
      MakeItem("odd.test", false, "x")};
  const JobHosts hosts = DecodeJobHosts(items, kNow);
  for (const bool is_anonymous : {false, true}) {
    CAPTURE(is_anonymous);
    CHECK(MayHaveJobs(hosts, "A.test", is_anonymous, kRetention, kNow) ==
          !is_anonymous);
    CHECK(MayHaveJobs(hosts, "b.test:8080", is_anonymous, kRetention, kNow));
    CHECK_FALSE(MayHaveJobs(hosts, "old.test", is_anonymous, kRetention, kNow));
    CHECK_FALSE(MayHaveJobs(hosts, "c.test", is_anonymous, kRetention, kNow));
    CHECK(MayHaveJobs(hosts, "odd.test", is_anonymous, kRetention, kNow) ==
          !is_anonymous);
  }
  // A wall clock that was set back.
  CHECK(MayHaveJobs(hosts, "b.test", true, kRetention, kNow - Millis(90'000)));
}

// Guards against a VM that relies on the absence of a job while another one,
// which doesn't know the configuration yet, accepts it.
TEST_CASE("absence is relied on for no longer than the configuration is old") {
  CHECK(AbsenceTrust(Millis()) == Millis(250));
  CHECK(AbsenceTrust(Millis(4'000)) == Millis(4'000));
  CHECK(AbsenceTrust(Millis(3'600'000)) == Millis(10'000));
}

}  // namespace
}  // namespace bronzecross
