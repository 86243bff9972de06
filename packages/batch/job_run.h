// One job run by its owner: reads the input ahead, hands items out to
// dispatchers, and appends their results to the output ledger in groups. The
// ledger's epoch is the fence: what a run appends after another VM took the job
// over does not count, and a result is acknowledged only once it is appended.

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
  // `fresh`: this VM has just accepted the job and nobody else owned it.
  JobRun(JobContext& context, StoredJob job, bool fresh);
  ~JobRun();
  JobRun(const JobRun&) = delete;
  JobRun& operator=(const JobRun&) = delete;

  void Start();
  // Writes what is pending and ends the run; the job stays open.
  void Stop();
  // Whether the run has ended: the job is final, lost or stopped.
  bool HasEnded() const;

  // Hands out items: {"need","max","holder","upstream","idle"} ->
  // {"items":[...],"drain":bool}. Fails with kNotOwner.
  Result<nlohmann::json> Take(const nlohmann::json& request);

  // Takes outcomes and returns once their records are durable. Fails with
  // kNotOwner or kDeadlineExceeded; the outcomes are to be offered again then.
  Status Done(const std::vector<ItemOutcome>& outcomes, Millis deadline);

  // Makes the run read the job's record again; cancels if it says so.
  void Remind();

  // The job's entry of the heartbeat section.
  nlohmann::json Announce() const;

 private:
  struct Pending {
    OutputRecord m_record;
    uint64_t m_ticket = 0;
  };

  void Run();
  Status Open();
  Status OpenLedger();
  Status ReadLedger();
  void AskForHeldItems();
  Status CountInput();
  // Does one round of work. Returns false when the run is over.
  bool Round();
  Status Flush();
  Status Refill();
  void AddLine(std::string_view line, const ConfigSnapshot& config)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void FinishInvalid(uint64_t index,
                     std::string_view custom_id,
                     const Error& error) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  uint64_t AddPending(OutputRecord record)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void ApplyRecord(const OutputRecord& record)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  uint64_t TakeOutcome(const ItemOutcome& outcome)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void GiveUpUnknown(const OpenItem& item)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  bool WaitForTicket(uint64_t ticket, Millis deadline);
  nlohmann::json HandOut(const std::vector<uint64_t>& indexes,
                         const std::string& holder)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void WriteIntents(std::string_view need, size_t max);
  void Reconcile();
  void RequeueLost(const std::vector<uint64_t>& indexes,
                   const std::string& holder);
  void UpdateForecast();
  // The state in which the job has to end now, or nothing.
  std::optional<JobState> DueEnd();
  // Writes the final record. Returns whether the run is over.
  bool Finish(JobState state);
  // Reads the record. Returns false if the job is not this VM's any more.
  Result<bool> CheckRecord();
  bool Wait(Millis duration);

  JobContext& m_context;
  const bool m_fresh;
  std::unique_ptr<LedgerWriter> m_writer;
  std::unique_ptr<InputReader> m_reader;
  int64_t m_revision;
  bool m_input_ended = false;
  bool m_counted = false;
  // From here on intents without a result or a holder end as unknown.
  Millis m_unknown_from;
  Millis m_next_reconcile;
  std::deque<std::pair<Millis, int64_t>> m_progress;
  absl::flat_hash_set<uint64_t> m_custom_ids;
  uint64_t m_next_index = 0;

  mutable absl::Mutex m_mutex;
  JobRecord m_job ABSL_GUARDED_BY(m_mutex);
  ItemTable m_table ABSL_GUARDED_BY(m_mutex);
  std::vector<Pending> m_group ABSL_GUARDED_BY(m_mutex);
  // Items whose result is in m_group, read from the input or not.
  std::set<uint64_t> m_ending ABSL_GUARDED_BY(m_mutex);
  // Items that dispatchers held when the job was taken over, and who.
  std::map<uint64_t, std::string> m_held ABSL_GUARDED_BY(m_mutex);
  uint64_t m_last_ticket ABSL_GUARDED_BY(m_mutex) = 0;
  uint64_t m_durable_ticket ABSL_GUARDED_BY(m_mutex) = 0;
  size_t m_open_bytes ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_serving ABSL_GUARDED_BY(m_mutex) = false;
  bool m_hurry ABSL_GUARDED_BY(m_mutex) = false;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  bool m_check_record ABSL_GUARDED_BY(m_mutex) = false;
  bool m_cancelling ABSL_GUARDED_BY(m_mutex) = false;
  bool m_ended ABSL_GUARDED_BY(m_mutex) = false;
  bool m_late ABSL_GUARDED_BY(m_mutex) = false;
  Millis m_expected_end ABSL_GUARDED_BY(m_mutex);
  // The upstream on which suspects run alone, and when it last asked.
  std::string m_quarantine ABSL_GUARDED_BY(m_mutex);
  Millis m_quarantine_at ABSL_GUARDED_BY(m_mutex);
  std::thread m_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_JOB_RUN_H_
