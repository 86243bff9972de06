// The hosts for which jobs were accepted, as the key-value service lists them.
// Every acceptance writes the key of its host in the same transaction, so the
// list tells of all jobs, whichever VM accepted them and under whichever
// configuration:
//   bx/jobhost/HASH    hash of the host; the Unix time of the last acceptance
//   bx/jobhost/HASH-a  the same of jobs without a workspace

#ifndef BRONZECROSS_JOBS_JOB_HOSTS_H_
#define BRONZECROSS_JOBS_JOB_HOSTS_H_

#include <map>
#include <span>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "kv/kv_types.h"

namespace bronzecross {

inline constexpr std::string_view kJobHostPrefix = "bx/jobhost/";

// `host` may include a port. `is_anonymous`: of jobs without a workspace.
std::string JobHostKey(std::string_view host, bool is_anonymous);
std::string EncodeJobHost(Millis wall_now);

// Unix time of the last acceptance by key.
using JobHosts = std::map<std::string, Millis, std::less<>>;

// A key whose value can't be decoded counts as written at `wall_now`.
JobHosts DecodeJobHosts(std::span<const KvItem> items, Millis wall_now);

// Returns whether callers can still use a job that was accepted for `host`:
// any, or one without a workspace if `is_anonymous` is true. `retention` is how
// long jobs are kept.
bool MayHaveJobs(const JobHosts& hosts,
                 std::string_view host,
                 bool is_anonymous,
                 Millis retention,
                 Millis wall_now);

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_HOSTS_H_
