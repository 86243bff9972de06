// Runs one job at its owner: reads the input ahead, assigns items to
// dispatchers, and appends their results to the output ledger in group commits.
// The ledger's epoch fences earlier owners: records that a run appends after
// another VM took the job over have no effect. A result is acknowledged only
// once it is appended.

#ifndef BRONZECROSS_BATCH_JOB_RUN_H_
#define BRONZECROSS_BATCH_JOB_RUN_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>

#include "batch/item_table.h"
#include "batch/job_context.h"
#include "batch/output_record.h"

namespace bronzecross {

class JobRun {
 public:
  // `newly_accepted`: this VM has just accepted the job, and no other VM owned
  // it before.
  JobRun(JobContext& context, StoredJob job, bool newly_accepted);
  ~JobRun();
  JobRun(const JobRun&) = delete;
  JobRun& operator=(const JobRun&) = delete;

  void Start();
  // Writes the pending records and ends the run; the job stays open.
  void Stop();
  // Whether the run has ended, because the job ended, another VM owns it or
  // Stop() was called.
  bool HasEnded() const;

  // Handles batch.take: assigns items to a dispatcher.
  // {"need","max","holder","upstream","idle"} -> {"items":[...],"drain":bool}.
  // Fails with kNotOwner.
  Result<nlohmann::json> HandleTake(const nlohmann::json& request);

  // Handles batch.done: records outcomes and returns once the records are
  // durable. Fails with kNotOwner or kDeadlineExceeded; the dispatcher must
  // then report the outcomes again.
  Status RecordOutcomes(const std::vector<ItemOutcome>& outcomes,
                        Millis deadline);

  // Makes the run read the job's record again and cancel the job if the record
  // says so.
  void RequestRecordCheck();

  // Returns the job's entry in the heartbeat section.
  nlohmann::json Announce() const;

 private:
  struct PendingRecord {
    OutputRecord m_record;
    // Position in the order in which records were queued, from 1.
    uint64_t m_ticket = 0;
  };

  void Run();
  Status Open();
  Status OpenLedger();
  Status ReadLedger();
  void QueryHeldItems();
  Status CountInput();
  // Runs one iteration of the main loop. Returns false when the run is over.
  bool RunOnce();
  Status Flush();
  Status ReadAhead();
  void AddLine(std::string_view line, const ConfigSnapshot& config)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void FailInvalid(uint64_t index,
                   std::string_view custom_id,
                   const Error& error) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  uint64_t AddPending(OutputRecord record)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void ApplyRecord(const OutputRecord& record)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  uint64_t ApplyOutcome(const ItemOutcome& outcome)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void FailAsUnknown(const OpenItem& item)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  bool WaitUntilDurable(uint64_t ticket, Millis deadline);
  nlohmann::json AssignItems(const std::vector<uint64_t>& indexes,
                             const std::string& dispatcher_id)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void WriteIntents(std::string_view capability, size_t max);
  void Reconcile();
  void ResolveLostItems(const std::vector<uint64_t>& indexes,
                        const std::string& dispatcher_id);
  void UpdateForecast();
  // Returns the state in which the job has to end now, std::nullopt if it goes
  // on.
  std::optional<JobState> FinalStateDue();
  // Writes the final record. Returns whether the run is over.
  bool Finish(JobState state);
  // Reads the job's record. Returns false if this VM does not own the job any
  // more or the job has ended.
  Result<bool> CheckRecord();
  bool Wait(Millis duration);

  JobContext& m_context;
  const bool m_newly_accepted;
  std::unique_ptr<LedgerWriter> m_writer;
  std::unique_ptr<InputReader> m_reader;
  int64_t m_revision;
  bool m_input_ended = false;
  bool m_input_counted = false;
  // Time from which items that have an intent, but no result and no dispatcher,
  // fail with an unknown outcome.
  Millis m_intent_deadline;
  Millis m_next_reconcile;
  // Samples of (time, number of ended items) within kProgressWindow.
  std::deque<std::pair<Millis, int64_t>> m_progress;
  absl::flat_hash_set<uint64_t> m_custom_id_hashes;
  uint64_t m_next_index = 0;

  mutable absl::Mutex m_mutex;
  JobRecord m_job ABSL_GUARDED_BY(m_mutex);
  ItemTable m_table ABSL_GUARDED_BY(m_mutex);
  std::vector<PendingRecord> m_pending_records ABSL_GUARDED_BY(m_mutex);
  // Items whose result is in m_pending_records, whether read from the input or
  // not.
  std::set<uint64_t> m_committing ABSL_GUARDED_BY(m_mutex);
  // Items that dispatchers held when this VM took the job over, and the
  // dispatchers.
  std::map<uint64_t, std::string> m_held_at_takeover ABSL_GUARDED_BY(m_mutex);
  uint64_t m_last_ticket ABSL_GUARDED_BY(m_mutex) = 0;
  uint64_t m_durable_ticket ABSL_GUARDED_BY(m_mutex) = 0;
  size_t m_open_bytes ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_serving ABSL_GUARDED_BY(m_mutex) = false;
  bool m_wake_requested ABSL_GUARDED_BY(m_mutex) = false;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  bool m_check_record ABSL_GUARDED_BY(m_mutex) = false;
  bool m_cancelling ABSL_GUARDED_BY(m_mutex) = false;
  bool m_ended ABSL_GUARDED_BY(m_mutex) = false;
  bool m_late ABSL_GUARDED_BY(m_mutex) = false;
  Millis m_expected_end ABSL_GUARDED_BY(m_mutex);
  // The upstream on which suspects run exclusively, and when its dispatcher
  // last requested items.
  std::string m_quarantine_upstream ABSL_GUARDED_BY(m_mutex);
  Millis m_quarantine_used_at ABSL_GUARDED_BY(m_mutex);
  std::thread m_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_JOB_RUN_H_
