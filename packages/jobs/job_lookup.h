// Finds out whether a job exists, for requests that are about a job only if it
// does. Few look-ups reach the store: that a host has no jobs, or that a job
// doesn't exist, is remembered for a while.

#ifndef BRONZECROSS_JOBS_JOB_LOOKUP_H_
#define BRONZECROSS_JOBS_JOB_LOOKUP_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "jobs/job_hosts.h"
#include "jobs/job_store.h"
#include "jobs/job_table.h"

namespace bronzecross {

struct JobQuery {
  std::string m_job;
  std::string m_host;  // may include a port
  // Only jobs without a workspace matter.
  bool m_is_anonymous = false;
  // Monotonic time since when the configuration has been in force by which no
  // new job reaches the host. Other VMs may still go by an earlier one.
  Millis m_config_since;
  Millis m_deadline;
};

// Returns how long the absence of a job, as read from the store, can be relied
// on: the longer, the longer ago the configuration changed.
Millis AbsenceTrust(Millis config_age);

class JobLookup {
 public:
  using StateHandler =
      std::function<void(std::string_view, const StoredState&)>;

  // `on_found` receives the state of each job that was found in the store. The
  // other arguments must outlive this object.
  JobLookup(KvSession& kv,
            BatchJobStore& store,
            const JobTable& table,
            Millis retention,
            StateHandler on_found)
      : m_kv(kv),
        m_store(store),
        m_table(table),
        m_retention(retention),
        m_on_found(std::move(on_found)) {}
  JobLookup(const JobLookup&) = delete;
  JobLookup& operator=(const JobLookup&) = delete;

  // Fails with kStoreUnavailable if that can't be known by the deadline, or if
  // too many different jobs are being looked up.
  Task<Result<bool>> Exists(JobQuery query);

 private:
  // A read of the store that several queries wait for.
  struct Reading {
    bool m_done = false;
    Status m_status;
    bool m_exists = false;
    Condition m_changed;
  };
  using ReadingPtr = std::shared_ptr<Reading>;

  bool IsKnown(std::string_view job) const;
  // Waits for a reading, which goes on after the deadline.
  Task<Status> WaitFor(ReadingPtr reading, Millis deadline);
  Task<> ReadHosts(ReadingPtr reading);
  Task<> ReadJob(std::string job, Millis config_since, ReadingPtr reading);
  void RememberAbsence(std::string job, Millis config_since, Millis read_at);

  KvSession& m_kv;
  BatchJobStore& m_store;
  const JobTable& m_table;
  const Millis m_retention;
  StateHandler m_on_found;
  JobHosts m_hosts;
  Millis m_hosts_read_at;      // when the read of m_hosts began; zero: never
  ReadingPtr m_hosts_reading;  // null unless a read is in progress
  std::map<std::string, ReadingPtr, std::less<>> m_readings;
  // Jobs that don't exist, and until when that is relied on. Bounded.
  std::map<std::string, Millis, std::less<>> m_absent;
  Millis m_next_read;  // earliest time of the next read of a job
};

}  // namespace bronzecross

#endif  // BRONZECROSS_JOBS_JOB_LOOKUP_H_
