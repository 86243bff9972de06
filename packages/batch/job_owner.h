// The jobs that this VM owns, and the search for jobs whose owner is gone. The
// first live VM by rendezvous hash searches; it asks the first live VM by
// rendezvous hash over the job's id to take a job over.

#ifndef BRONZECROSS_BATCH_JOB_OWNER_H_
#define BRONZECROSS_BATCH_JOB_OWNER_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <thread>

#include <absl/synchronization/mutex.h>

#include "batch/job_run.h"
#include "batch/job_takeover.h"
#include "batch/open_work.h"

namespace bronzecross {

// Thread-safe.
class JobOwner {
 public:
  JobOwner(JobContext& context, OpenWork& open_work);
  ~JobOwner();

  void Start();
  // Ends all runs; their jobs stay open for other VMs.
  void Stop();

  // Runs a job that this VM has just accepted.
  void Accept(StoredJob job);

  // Reads the record of the job `id` and runs the job if it is this VM's.
  // Otherwise takes it over if `take_over` is set.
  Status Adopt(const std::string& id, bool take_over);

  // Adopts the job later: its record may or may not have been written.
  void AdoptLater(const std::string& id);

  // The run of the job `id`, or null.
  std::shared_ptr<JobRun> Find(std::string_view id) const;

  // The heartbeat section.
  nlohmann::json Announce() const;

 private:
  void Run();
  void Reap();
  void AdoptWaiting();
  void Scan();
  void JudgeJob(const OpenJob& job,
                const std::map<std::string, int64_t>& vms,
                Millis now);
  void StartRun(StoredJob job, bool fresh);

  JobContext& m_context;
  OpenWork& m_open_work;
  mutable absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::map<std::string, std::shared_ptr<JobRun>, std::less<>> m_runs
      ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, Millis> m_waiting ABSL_GUARDED_BY(m_mutex);
  nlohmann::json m_announcement ABSL_GUARDED_BY(m_mutex) =
      nlohmann::json::object();
  // Used by the thread only: since when a job's owner is in its condition, the
  // live VMs at the last scan, and the time of the next one.
  std::map<std::string, Millis> m_condition_since;
  std::set<std::string> m_live_before;
  Millis m_next_scan;
  Millis m_eager_until;
  std::thread m_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_JOB_OWNER_H_
