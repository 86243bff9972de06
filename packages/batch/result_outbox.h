// Holds the outcomes of a dispatcher that the job's owner has not acknowledged
// yet.

#ifndef BRONZECROSS_BATCH_RESULT_OUTBOX_H_
#define BRONZECROSS_BATCH_RESULT_OUTBOX_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "batch/announced_jobs.h"
#include "batch/bounded_thread_pool.h"
#include "batch/item_outcome.h"
#include "batch/job_context.h"

namespace bronzecross {

// Thread-safe. Sends the outcomes to the current owner of the job until they
// are acknowledged.
class ResultOutbox {
 public:
  ResultOutbox(JobContext& context, AnnouncedJobs& announced_jobs);

  // `owner` is the VM that assigned the item.
  void Add(const std::string& job,
           const std::string& owner,
           ItemOutcome outcome);

  // Starts to send the outcomes that are due. Must be called regularly; does
  // not block.
  void SendDue();

  // Number of unacknowledged outcomes, and the item indexes of those of one
  // job.
  size_t Size() const;
  std::vector<uint64_t> Indexes(const std::string& job) const;

  // Sends outcomes until all are acknowledged, for at most `timeout`.
  void Drain(Millis timeout);

 private:
  struct JobQueue {
    std::string m_owner;
    std::vector<ItemOutcome> m_outcomes;
    bool m_sending = false;
    Millis m_next_send;
    // Since when no VM announces the job; zero if it is announced.
    Millis m_unannounced_since;
  };

  void Send(const std::string& job,
            const std::string& owner,
            std::vector<ItemOutcome> outcomes);

  JobContext& m_context;
  AnnouncedJobs& m_announced_jobs;
  mutable absl::Mutex m_mutex;
  std::map<std::string, JobQueue> m_queues ABSL_GUARDED_BY(m_mutex);
  // Declared last, so that its threads end before the other members are
  // destroyed.
  BoundedThreadPool m_send_pool;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_RESULT_OUTBOX_H_
