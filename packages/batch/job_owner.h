// Runs the jobs that this VM owns and finds jobs whose owner is gone. The first
// live VM by rendezvous hash scans the store; it asks the first live VM by
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

#include "batch/announced_jobs.h"
#include "batch/job_run.h"
#include "batch/job_takeover.h"

namespace bronzecross {

// Thread-safe.
class JobOwner {
 public:
  JobOwner(JobContext& context, AnnouncedJobs& announced_jobs);
  ~JobOwner();

  void Start();
  // Stops all runs. Their jobs stay open, and other VMs take them over.
  void Stop();

  // Runs a job that this VM has just accepted.
  void Accept(StoredJob job);

  // Reads the record of the job `id` and runs the job if this VM owns it.
  // Otherwise takes it over if `take_over` is set, and fails with kNotOwner if
  // not.
  Status Adopt(const std::string& id, bool take_over);

  // Calls Adopt() in the background until its result is known. For a job whose
  // record may or may not have been written.
  void AdoptLater(const std::string& id);

  // Returns the run of the job `id`, or null.
  std::shared_ptr<JobRun> Find(std::string_view id) const;

  // Returns the heartbeat section with the jobs that this VM owns.
  nlohmann::json Announce() const;

 private:
  void Run();
  void RefreshRuns();
  void AdoptPending();
  void ScanOpenJobs();
  void CheckJobOwner(const OpenJob& job,
                     const std::map<std::string, int64_t>& vms,
                     Millis now);
  void StartRun(StoredJob job, bool newly_accepted);

  JobContext& m_context;
  AnnouncedJobs& m_announced_jobs;
  mutable absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::map<std::string, std::shared_ptr<JobRun>, std::less<>> m_runs
      ABSL_GUARDED_BY(m_mutex);
  // The jobs passed to AdoptLater(), and when.
  std::map<std::string, Millis> m_pending_adoptions ABSL_GUARDED_BY(m_mutex);
  nlohmann::json m_announcement ABSL_GUARDED_BY(m_mutex) =
      nlohmann::json::object();
  // Used by the thread only: since when the scan finds a problem with a job's
  // owner, the live VMs when last compared, the time of the next scan, and
  // until when scans are more frequent.
  std::map<std::string, Millis> m_condition_since;
  std::set<std::string> m_last_live_vms;
  Millis m_next_scan;
  Millis m_fast_scan_until;
  std::thread m_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_JOB_OWNER_H_
