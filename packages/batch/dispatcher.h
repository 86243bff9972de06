// Sends batch items to upstreams. Each upstream has one dispatcher: the first
// live VM by rendezvous hash. Only that VM sends batch items to the upstream,
// so that it can enforce the limit on them locally.

#ifndef BRONZECROSS_BATCH_DISPATCHER_H_
#define BRONZECROSS_BATCH_DISPATCHER_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <thread>

#include <absl/synchronization/mutex.h>

#include "batch/announced_jobs.h"
#include "batch/assigned_item.h"
#include "batch/bounded_thread_pool.h"
#include "batch/job_context.h"
#include "batch/result_outbox.h"
#include "batch/upstream_access.h"
#include "batch/upstream_capacity.h"
#include "config/batch_options.h"

namespace bronzecross {

// Thread-safe.
class Dispatcher {
 public:
  Dispatcher(JobContext& context,
             AnnouncedJobs& announced_jobs,
             UpstreamAccess access,
             HttpClient& http,
             BatchOptions options);
  ~Dispatcher();

  void Start();
  // Returns all items to the owners of their jobs. Cancels running idempotent
  // items at once and the others after kStopTimeout.
  void Stop();

  // Returns the indexes of the job's items that this VM holds: not sent yet,
  // running, or with an outcome that the owner has not acknowledged.
  std::vector<uint64_t> HeldItems(const std::string& job) const;

  // Drops the unsent items of a job and cancels the running ones.
  void CancelJob(const std::string& job);

  // Handles a report of the VM `from` that it has `online` online requests on
  // the upstream, whose slots are all in use: preempts the excess batch items.
  void Preempt(const std::string& upstream,
               const std::string& from,
               int64_t online);

  // Notifies the upstream's dispatcher that an online request was sent to the
  // upstream while all its slots were in use. Does not block.
  void ReportOnlineAtCapacity(std::string_view upstream);

 private:
  struct ActiveRun {
    AssignedItem m_item;
    Millis m_started;
    // Set once the run is cancelled; it does not count against the capacity of
    // the upstream any more.
    bool m_cancelled = false;
    std::unique_ptr<CancelToken> m_cancel = std::make_unique<CancelToken>();
  };
  struct UpstreamQueue;

  void Run();
  void UpdateUpstream(const UpstreamSpec& spec,
                      const std::vector<AnnouncedJob>& jobs);
  int64_t ComputeCapacity(const UpstreamSpec& spec,
                          const BatchLoad& load,
                          UpstreamQueue& queue)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void PreemptExcess(const std::string& name,
                     UpstreamQueue& queue,
                     int64_t excess) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void StartItems(const UpstreamSpec& spec,
                  UpstreamQueue& queue,
                  int64_t capacity) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void RequestMoreItems(const UpstreamSpec& spec,
                        UpstreamQueue& queue,
                        int64_t capacity,
                        const std::vector<AnnouncedJob>& jobs)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void RequestItems(const std::string& upstream,
                    const AnnouncedJob& job,
                    const nlohmann::json& request);
  void ExecuteRun(uint64_t run, std::shared_ptr<PickedUpstream> picked);
  void CancelStoppingJobs(const std::vector<AnnouncedJob>& jobs);
  void ReturnUnsent(UpstreamQueue& queue)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void SendPreemptions();
  bool IsDispatcherFor(std::string_view upstream) const;

  JobContext& m_context;
  AnnouncedJobs& m_announced_jobs;
  const UpstreamAccess m_access;
  HttpClient& m_http;
  const BatchOptions m_options;
  const std::string m_dispatcher_id;
  ResultOutbox m_outbox;
  mutable absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  bool m_wake ABSL_GUARDED_BY(m_mutex) = false;
  uint64_t m_last_run_id ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_running_total ABSL_GUARDED_BY(m_mutex) = 0;
  std::map<std::string, std::unique_ptr<UpstreamQueue>, std::less<>>
      m_upstream_queues ABSL_GUARDED_BY(m_mutex);
  // Number of items held for each workspace, for fair scheduling.
  std::map<std::string, int64_t> m_held_by_workspace ABSL_GUARDED_BY(m_mutex);
  std::set<std::string, std::less<>> m_preemptions_due ABSL_GUARDED_BY(m_mutex);
  std::thread m_thread;
  std::thread m_preemption_thread;
  BoundedThreadPool m_call_pool;
  BoundedThreadPool m_item_pool;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_DISPATCHER_H_
