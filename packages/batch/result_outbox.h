// Outcomes that a dispatcher has and the job's owner has not acknowledged.

#ifndef BRONZECROSS_BATCH_RESULT_OUTBOX_H_
#define BRONZECROSS_BATCH_RESULT_OUTBOX_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "batch/item_outcome.h"
#include "batch/item_threads.h"
#include "batch/job_context.h"
#include "batch/open_work.h"

namespace bronzecross {

// Thread-safe. Offers the outcomes to whoever owns the job until they are
// acknowledged.
class ResultOutbox {
 public:
  ResultOutbox(JobContext& context, OpenWork& open_work);

  // `owner` is the VM that handed the item out.
  void Add(const std::string& job,
           const std::string& owner,
           ItemOutcome outcome);

  // Sends what is due; call often. Does not block.
  void Pump();

  // Outcomes that are kept, and of one job the indexes.
  size_t Size() const;
  std::vector<uint64_t> Indexes(const std::string& job) const;

  // Sends everything once more and waits for it for at most `timeout`.
  void Drain(Millis timeout);

 private:
  struct Box {
    std::string m_owner;
    std::vector<ItemOutcome> m_outcomes;
    bool m_sending = false;
    Millis m_not_before;
    // Since when nobody announces the job; zero: it is announced.
    Millis m_orphan_since;
  };

  void Send(const std::string& job,
            const std::string& owner,
            std::vector<ItemOutcome> outcomes);

  JobContext& m_context;
  OpenWork& m_open_work;
  mutable absl::Mutex m_mutex;
  std::map<std::string, Box> m_boxes ABSL_GUARDED_BY(m_mutex);
  // Last, so that its threads end before the rest goes.
  ItemThreads m_threads;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_RESULT_OUTBOX_H_
