#include "jobs/job_hosts.h"

#include "base/hash.h"
#include "base/text.h"
#include "http1/message_head.h"

namespace bronzecross {
namespace {

// Covers the difference between the wall clocks of two VMs, and jobs that were
// still open at the end of their retention.
constexpr Millis kRetentionMargin{3'600'000};

bool IsRecent(const JobHosts& hosts,
              std::string_view key,
              Millis retention,
              Millis wall_now) {
  const auto found = hosts.find(key);
  return found != hosts.end() &&
         wall_now - found->second < retention + kRetentionMargin;
}

}  // namespace

std::string JobHostKey(std::string_view host, bool is_anonymous) {
  const std::string name = ToLower(host.substr(0, host.find(':')));
  return Concat(kJobHostPrefix, Hex64(Hash64(name)), is_anonymous ? "-a" : "");
}

std::string EncodeJobHost(Millis wall_now) {
  return Concat(wall_now.count());
}

JobHosts DecodeJobHosts(std::span<const KvItem> items, Millis wall_now) {
  JobHosts hosts;
  for (const KvItem& item : items) {
    hosts[item.m_key] =
        Millis(ParseDecimal(item.m_value).value_or(wall_now.count()));
  }
  return hosts;
}

bool MayHaveJobs(const JobHosts& hosts,
                 std::string_view host,
                 bool is_anonymous,
                 Millis retention,
                 Millis wall_now) {
  return IsRecent(hosts, JobHostKey(host, true), retention, wall_now) ||
         (!is_anonymous &&
          IsRecent(hosts, JobHostKey(host, false), retention, wall_now));
}

}  // namespace bronzecross
