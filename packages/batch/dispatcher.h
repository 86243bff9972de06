// Sends batch items to the upstreams that this VM dispatches for: those of
// which it is the first live VM by rendezvous hash. Only that VM sends batch
// items there, so that the bound on them is local to it.

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

#include "batch/item_threads.h"
#include "batch/job_context.h"
#include "batch/open_work.h"
#include "batch/result_outbox.h"
#include "batch/taken_item.h"
#include "batch/upstream_access.h"
#include "batch/upstream_room.h"
#include "config/batch_options.h"

namespace bronzecross {

// Thread-safe.
class Dispatcher {
 public:
  Dispatcher(JobContext& context,
             OpenWork& open_work,
             UpstreamAccess access,
             HttpClient& http,
             BatchOptions options);
  ~Dispatcher();

  void Start();
  // Cancels what runs and returns it to the jobs' owners.
  void Stop();

  // The items of a job that this VM holds, sent or not, answered or not.
  std::vector<uint64_t> Held(const std::string& job) const;

  // Stops the items of a job.
  void CancelJob(const std::string& job);

  // The VM `from` has `online` requests on the upstream, which is full.
  void Yield(const std::string& upstream,
             const std::string& from,
             int64_t online);

  // Tells the dispatcher of an upstream that an online request went to it.
  // Does not block.
  void TellOnlineAtBound(std::string_view upstream);

 private:
  struct Running {
    TakenItem m_item;
    Millis m_started;
    // Set while the item gives way; it counts as gone.
    bool m_cancelled = false;
    std::unique_ptr<CancelToken> m_cancel = std::make_unique<CancelToken>();
  };
  struct Lane;

  void Run();
  void Manage(const UpstreamSpec& spec, const std::vector<AnnouncedJob>& jobs);
  int64_t RoomOf(const UpstreamSpec& spec, const BatchLoad& load, Lane& lane)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void CancelExcess(const std::string& name, Lane& lane, int64_t excess)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void StartItems(const UpstreamSpec& spec, Lane& lane, int64_t room)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void TakeMore(const UpstreamSpec& spec,
                Lane& lane,
                int64_t room,
                const std::vector<AnnouncedJob>& jobs)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Take(const std::string& upstream,
            const AnnouncedJob& job,
            const nlohmann::json& request);
  void RunOne(uint64_t run, std::shared_ptr<PickedUpstream> picked);
  void StopCancelledJobs(const std::vector<AnnouncedJob>& jobs);
  void ReturnUnsent(Lane& lane) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void SendYields();
  bool DispatchesFor(std::string_view upstream) const;

  JobContext& m_context;
  OpenWork& m_open_work;
  const UpstreamAccess m_access;
  HttpClient& m_http;
  const BatchOptions m_options;
  const std::string m_holder;
  ResultOutbox m_outbox;
  mutable absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  bool m_wake ABSL_GUARDED_BY(m_mutex) = false;
  uint64_t m_last_run ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_running_total ABSL_GUARDED_BY(m_mutex) = 0;
  std::map<std::string, std::unique_ptr<Lane>, std::less<>> m_lanes
      ABSL_GUARDED_BY(m_mutex);
  // Items held by workspace, for fairness.
  std::map<std::string, int64_t> m_held_by_workspace ABSL_GUARDED_BY(m_mutex);
  std::set<std::string, std::less<>> m_yields_due ABSL_GUARDED_BY(m_mutex);
  std::thread m_thread;
  std::thread m_yield_thread;
  ItemThreads m_takers;
  ItemThreads m_runners;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_DISPATCHER_H_
