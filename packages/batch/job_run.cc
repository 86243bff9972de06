#include "batch/job_run.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include "base/hash.h"
#include "base/log.h"
#include "base/metrics.h"
#include "batch/deadline_forecast.h"

namespace bronzecross {
namespace {

using nlohmann::json;

// Group commit: pending records are appended at this interval, or at once when
// there are this many.
constexpr Millis kGroupCommitInterval{50};
constexpr size_t kMaxGroupRecords = 200;
// Size at which an append is closed, well below the limit of a ledger record
// batch.
constexpr size_t kMaxAppendBytes = 4 << 20;
// Limits of the read-ahead.
constexpr size_t kReadAheadItems = 1000;
constexpr size_t kReadAheadBytes = 8 << 20;
constexpr size_t kReadChunkBytes = 256 << 10;
constexpr Millis kRetryInterval{300};
constexpr Millis kReconcileInterval{1000};
// Age of an assignment at which the dispatcher is asked whether it still holds
// the item. Longer than kTakeTimeout in dispatcher.cc, so that the reply that
// carried the item has arrived or was dropped.
constexpr Millis kAssignmentCheckAge{4000};
constexpr Millis kIntentTimeout{1500};
constexpr Millis kHeldTimeout{1000};
// Time that dispatchers have after a takeover to report results of items that
// have an intent but no result.
constexpr Millis kOutcomeGracePeriod{3000};
// Another upstream can run the suspects if the current one has not requested
// items for this long.
constexpr Millis kQuarantineTimeout{5000};
constexpr Millis kProgressWindow{30'000};

Error UnknownOutcome() {
  return Error{ResultCode::kOutcomeUnknown,
               "the item may have run; it is not run again",
               RunState::kUnknown};
}

}  // namespace

std::string DispatcherId(std::string_view vm, int64_t incarnation) {
  return absl::StrCat(std::string(vm), "#", incarnation);
}

JobRun::JobRun(JobContext& context, StoredJob job, bool newly_accepted)
    : m_context(context),
      m_newly_accepted(newly_accepted),
      m_revision(job.m_revision),
      m_job(std::move(job.m_job)) {}

JobRun::~JobRun() {
  Stop();
}

void JobRun::Start() {
  m_thread = std::thread([this] { Run(); });
}

void JobRun::Stop() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

bool JobRun::HasEnded() const {
  absl::MutexLock lock(&m_mutex);
  return m_ended;
}

void JobRun::RequestRecordCheck() {
  absl::MutexLock lock(&m_mutex);
  m_check_record = true;
  m_wake_requested = true;
}

bool JobRun::Wait(Millis duration) {
  absl::MutexLock lock(&m_mutex);
  const auto wake = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    return m_stopping || m_wake_requested;
  };
  m_mutex.AwaitWithTimeout(absl::Condition(&wake),
                           absl::Milliseconds(duration.count()));
  m_wake_requested = false;
  return !m_stopping;
}

void JobRun::Run() {
  bool keep_running = true;
  while (keep_running) {
    if (m_writer == nullptr) {
      const Status opened = Open();
      if (!opened) {
        if (opened.error().m_code == ResultCode::kNotOwner) {
          break;
        }
        LogError(Severity::kWarning, LogPart::kBatch, "Cannot open a job.",
                 opened.error());
        keep_running = Wait(kRetryInterval);
        continue;
      }
    }
    keep_running = RunOnce();
  }
  absl::MutexLock lock(&m_mutex);
  m_serving = false;
  m_ended = true;
}

bool JobRun::RunOnce() {
  const bool keep_running = Wait(kGroupCommitInterval);
  bool check = false;
  {
    absl::MutexLock lock(&m_mutex);
    std::swap(check, m_check_record);
  }
  if (check) {
    const Result<bool> still_owner = CheckRecord();
    if (still_owner && !*still_owner) {
      return false;
    }
  }
  const Status flushed = Flush();
  if (!flushed) {
    LogError(Severity::kWarning, LogPart::kBatch,
             "Cannot append results; reopening the ledger.", flushed.error());
    m_writer.reset();
    return keep_running && Wait(kRetryInterval);
  }
  if (!keep_running) {
    return false;
  }
  const std::optional<JobState> end = FinalStateDue();
  if (end) {
    return !Finish(*end) && Wait(kRetryInterval);
  }
  if (!m_input_counted) {
    const Status counted = CountInput();
    m_input_counted = counted.has_value();
  }
  const Status refilled = ReadAhead();
  if (!refilled) {
    LogError(Severity::kWarning, LogPart::kBatch, "Cannot read a job's input.",
             refilled.error());
    return Wait(kRetryInterval);
  }
  if (MonotonicNow() >= m_next_reconcile) {
    m_next_reconcile = MonotonicNow() + kReconcileInterval;
    Reconcile();
    UpdateForecast();
  }
  return true;
}

Status JobRun::Open() {
  std::string workspace;
  std::string file;
  {
    absl::MutexLock lock(&m_mutex);
    workspace = m_job.m_workspace;
    file = m_job.m_input_file_id;
  }
  if (m_reader == nullptr) {
    const Result<InputFile> input = m_context.m_find_input(workspace, file);
    if (!input) {
      return tl::unexpected<Error>(input.error());
    }
    m_reader = std::make_unique<InputReader>(m_context.m_ledgers, *input);
  }
  const Status opened = OpenLedger();
  if (!opened) {
    return opened;
  }
  const Status read = ReadLedger();
  if (!read) {
    m_writer.reset();
    return read;
  }
  if (!m_newly_accepted) {
    QueryHeldItems();
  }
  m_intent_deadline = MonotonicNow() + kOutcomeGracePeriod;
  absl::MutexLock lock(&m_mutex);
  m_serving = true;
  Log(Severity::kInfo, LogPart::kBatch, "Opened a job.",
      {{"job", m_job.m_id},
       {"epoch", m_job.m_epoch},
       {"ledger_epoch", m_writer->Epoch()},
       {"done", m_job.m_counts.m_completed + m_job.m_counts.m_failed}});
  return {};
}

Status JobRun::OpenLedger() {
  std::string id;
  {
    absl::MutexLock lock(&m_mutex);
    id = OutputLedgerId(m_job.m_id);
  }
  if (m_newly_accepted) {
    // A VM that has taken the job over since then fences this writer, so the
    // record need not be read.
    Result<std::unique_ptr<LedgerWriter>> created =
        m_context.m_ledgers.Create(id);
    if (created) {
      m_writer = std::move(*created);
      return {};
    }
    if (created.error().m_code != ResultCode::kConflict) {
      return tl::unexpected<Error>(created.error());
    }
  }
  Result<std::unique_ptr<LedgerWriter>> writer =
      m_context.m_ledgers.TakeOver(id);
  if (!writer && writer.error().m_code == ResultCode::kNotFound) {
    writer = m_context.m_ledgers.Create(id);
  }
  // The record is read after the epoch was raised: a VM that takes the job over
  // later fences this writer, and an earlier takeover shows in the record.
  const Result<bool> still_owner = CheckRecord();
  if (!still_owner) {
    return tl::unexpected<Error>(still_owner.error());
  }
  if (!*still_owner) {
    return Fail(ResultCode::kNotOwner, "another VM has taken the job over");
  }
  if (!writer) {
    return tl::unexpected<Error>(writer.error());
  }
  m_writer = std::move(*writer);
  return {};
}

Status JobRun::ReadLedger() {
  if (m_writer->NextSequence() == 0) {
    return {};
  }
  std::string id;
  {
    absl::MutexLock lock(&m_mutex);
    id = OutputLedgerId(m_job.m_id);
  }
  ItemTable recovered;
  int64_t completed = 0;
  int64_t failed = 0;
  const Status read =
      m_context.m_ledgers.Read(id, 0, [&](const LedgerRecord& record) {
        Result<OutputRecord> output = DecodeOutput(record.m_payload);
        if (!output) {
          LogError(Severity::kError, LogPart::kBatch,
                   "Skipped a malformed output record.", output.error());
          return true;
        }
        const uint64_t index = output->m_index;
        if (output->m_kind == OutputKind::kAttempt) {
          ++recovered.m_attempts[index];
        } else if (output->m_kind == OutputKind::kIntent) {
          recovered.m_intents.insert(index);
        } else if (!IsDone(recovered, index)) {
          SetDone(recovered, index);
          (output->m_kind == OutputKind::kResult ? completed : failed)++;
        }
        return true;
      });
  if (!read) {
    return read;
  }
  absl::MutexLock lock(&m_mutex);
  m_job.m_counts.m_completed = completed;
  m_job.m_counts.m_failed = failed;
  for (uint64_t i = 0; i < recovered.m_done.size(); ++i) {
    if (recovered.m_done[i] && !IsDone(m_table, i)) {
      SetDone(m_table, i);
    }
  }
  for (const auto& [index, attempts] : recovered.m_attempts) {
    if (!IsDone(m_table, index)) {
      m_table.m_attempts[index] = attempts;
    }
  }
  for (const uint64_t index : recovered.m_intents) {
    if (!IsDone(m_table, index)) {
      m_table.m_intents.insert(index);
    }
  }
  // Results that reached the ledger although their append failed are not
  // appended again.
  std::erase_if(m_pending_records,
                [&](const PendingRecord& pending)
                    ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                      return IsDone(m_table, pending.m_record.m_index);
                    });
  std::erase_if(m_committing, [&](uint64_t index) ABSL_EXCLUSIVE_LOCKS_REQUIRED(
                                  m_mutex) { return IsDone(m_table, index); });
  return {};
}

void JobRun::QueryHeldItems() {
  std::string id;
  {
    absl::MutexLock lock(&m_mutex);
    id = m_job.m_id;
    if (m_serving || m_next_index > 0) {
      return;  // this VM has run the job already and knows the dispatchers
    }
  }
  std::map<uint64_t, std::string> held;
  for (const Member& member : m_context.m_membership.Live()) {
    const Result<json> reply = m_context.m_call(member.m_id, "batch.held",
                                                {{"job", id}}, kHeldTimeout);
    if (!reply) {
      continue;
    }
    for (const json& index : reply->value("items", json::array())) {
      held[index.get<uint64_t>()] = reply->value("holder", "");
    }
  }
  absl::MutexLock lock(&m_mutex);
  m_held_at_takeover = std::move(held);
}

Result<bool> JobRun::CheckRecord() {
  std::string id;
  {
    absl::MutexLock lock(&m_mutex);
    id = m_job.m_id;
  }
  const Result<StoredJob> stored = m_context.m_store.Load(id);
  if (!stored) {
    if (stored.error().m_code == ResultCode::kNotFound) {
      return false;
    }
    return tl::unexpected<Error>(stored.error());
  }
  const JobRecord& job = stored->m_job;
  absl::MutexLock lock(&m_mutex);
  if (job.m_epoch != m_job.m_epoch || job.m_owner != m_job.m_owner ||
      IsFinal(job.m_state)) {
    Log(Severity::kInfo, LogPart::kBatch, "Lost a job to another owner.",
        {{"job", id}, {"owner", job.m_owner}, {"epoch", job.m_epoch}});
    return false;
  }
  m_revision = stored->m_revision;
  if (job.m_state == JobState::kCancelling && !m_cancelling) {
    m_cancelling = true;
    m_job.m_state = JobState::kCancelling;
    Log(Severity::kInfo, LogPart::kBatch, "Cancelling a job.", {{"job", id}});
  }
  return true;
}

Status JobRun::CountInput() {
  std::string workspace;
  std::string file;
  {
    absl::MutexLock lock(&m_mutex);
    workspace = m_job.m_workspace;
    file = m_job.m_input_file_id;
  }
  const Result<InputFile> input = m_context.m_find_input(workspace, file);
  if (!input) {
    return tl::unexpected<Error>(input.error());
  }
  InputReader reader(m_context.m_ledgers, *input);
  int64_t total = 0;
  while (true) {
    const Result<bool> more = reader.ReadLines(
        8 * kReadChunkBytes, [&](std::string_view) { ++total; });
    if (!more) {
      return tl::unexpected<Error>(more.error());
    }
    if (!*more) {
      break;
    }
  }
  absl::MutexLock lock(&m_mutex);
  m_job.m_counts.m_total = total;
  if (m_job.m_state == JobState::kValidating) {
    m_job.m_state = JobState::kInProgress;
  }
  return {};
}

uint64_t JobRun::AddPending(OutputRecord record) {
  const auto found = m_table.m_open.find(record.m_index);
  if (found != m_table.m_open.end()) {
    RemoveReady(m_table, record.m_index,
                record.m_kind == OutputKind::kAttempt ||
                        record.m_kind == OutputKind::kIntent
                    ? ItemPhase::kAwaitingRecord
                    : ItemPhase::kCommitting);
  }
  if (record.m_kind != OutputKind::kAttempt &&
      record.m_kind != OutputKind::kIntent) {
    m_committing.insert(record.m_index);
  }
  m_pending_records.push_back({std::move(record), ++m_last_ticket});
  m_wake_requested =
      m_wake_requested || m_pending_records.size() >= kMaxGroupRecords;
  return m_last_ticket;
}

Status JobRun::Flush() {
  while (true) {
    std::vector<PendingRecord> group;
    {
      absl::MutexLock lock(&m_mutex);
      size_t bytes = 0;
      size_t count = 0;
      while (count < m_pending_records.size() && bytes < kMaxAppendBytes) {
        bytes += m_pending_records[count].m_record.m_line.size();
        ++count;
      }
      group.assign(m_pending_records.begin(),
                   m_pending_records.begin() + static_cast<ptrdiff_t>(count));
    }
    if (group.empty()) {
      return {};
    }
    std::vector<std::string> payloads;
    payloads.reserve(group.size());
    for (const PendingRecord& pending : group) {
      payloads.push_back(EncodeOutput(pending.m_record));
    }
    const Result<uint64_t> appended = m_writer->Append(payloads);
    if (!appended) {
      return tl::unexpected<Error>(appended.error());
    }
    absl::MutexLock lock(&m_mutex);
    for (const PendingRecord& pending : group) {
      ApplyRecord(pending.m_record);
    }
    m_pending_records.erase(
        m_pending_records.begin(),
        m_pending_records.begin() + static_cast<ptrdiff_t>(group.size()));
    m_durable_ticket = group.back().m_ticket;
  }
}

void JobRun::ApplyRecord(const OutputRecord& record) {
  const uint64_t index = record.m_index;
  const auto found = m_table.m_open.find(index);
  switch (record.m_kind) {
    case OutputKind::kAttempt:
      m_table.m_attempts[index]++;
      if (found != m_table.m_open.end()) {
        found->second.m_attempts++;
        MakeReady(m_table, index);
      }
      return;
    case OutputKind::kIntent:
      m_table.m_intents.insert(index);
      if (found != m_table.m_open.end()) {
        found->second.m_has_intent = true;
        MakeReady(m_table, index);
      }
      return;
    case OutputKind::kResult:
    case OutputKind::kFailure:
      m_job.m_counts.m_completed +=
          record.m_kind == OutputKind::kResult ? 1 : 0;
      m_job.m_counts.m_failed += record.m_kind == OutputKind::kFailure ? 1 : 0;
      if (found != m_table.m_open.end()) {
        m_open_bytes -= found->second.m_item.m_body.size();
      }
      m_committing.erase(index);
      SetDone(m_table, index);
      CountMetric("bronzecross_batch_items_total",
                  {{"end", record.m_kind == OutputKind::kResult ? "completed"
                                                                : "failed"}});
  }
}

bool JobRun::WaitUntilDurable(uint64_t ticket, Millis deadline) {
  absl::MutexLock lock(&m_mutex);
  const auto settled = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    return m_durable_ticket >= ticket || m_ended || m_stopping;
  };
  m_mutex.AwaitWithTimeout(
      absl::Condition(&settled),
      absl::Milliseconds((deadline - MonotonicNow()).count()));
  return m_durable_ticket >= ticket;
}

Status JobRun::ReadAhead() {
  if (m_input_ended) {
    return {};
  }
  const std::shared_ptr<const ConfigSnapshot> config = m_context.m_config.Get();
  while (true) {
    {
      absl::MutexLock lock(&m_mutex);
      if (m_table.m_open.size() >= kReadAheadItems ||
          m_open_bytes >= kReadAheadBytes || m_stopping ||
          m_pending_records.size() >= kReadAheadItems) {
        return {};
      }
    }
    const Result<bool> more =
        m_reader->ReadLines(kReadChunkBytes, [&](std::string_view line) {
          absl::MutexLock lock(&m_mutex);
          AddLine(line, *config);
        });
    if (!more) {
      return tl::unexpected<Error>(more.error());
    }
    if (!*more) {
      m_input_ended = true;
      return {};
    }
  }
}

void JobRun::FailInvalid(uint64_t index,
                         std::string_view custom_id,
                         const Error& error) {
  AddPending({OutputKind::kFailure, index, ErrorLine(custom_id, error)});
}

void JobRun::AddLine(std::string_view line, const ConfigSnapshot& config) {
  const uint64_t index = m_next_index++;
  Result<BatchItem> parsed = ParseBatchItem(line);
  const bool repeated =
      parsed && !m_custom_id_hashes.insert(Hash64(parsed->m_custom_id)).second;
  if (IsDone(m_table, index) || m_committing.contains(index)) {
    return;
  }
  if (!parsed) {
    FailInvalid(index, "", parsed.error());
    return;
  }
  if (repeated) {
    FailInvalid(index, parsed->m_custom_id,
                Error{ResultCode::kInvalidArgument,
                      "the custom_id was used by an earlier item"});
    return;
  }
  OpenItem item;
  item.m_index = index;
  const Result<ItemRoute> route = FindItemRoute(*parsed, config);
  if (!route) {
    FailInvalid(index, parsed->m_custom_id, route.error());
    return;
  }
  item.m_capability = route->m_capability;
  item.m_idempotent = route->m_idempotent;
  item.m_item = std::move(*parsed);
  const auto attempts = m_table.m_attempts.find(index);
  item.m_attempts = attempts != m_table.m_attempts.end() ? attempts->second : 0;
  item.m_suspect = item.m_attempts > 0;
  m_open_bytes += item.m_item.m_body.size();
  const bool has_intent = m_table.m_intents.contains(index);
  item.m_has_intent = has_intent;
  AddReady(m_table, std::move(item));
  const auto held = m_held_at_takeover.find(index);
  if (held != m_held_at_takeover.end() || has_intent) {
    RemoveReady(m_table, index, ItemPhase::kAssigned);
    OpenItem& open = m_table.m_open.at(index);
    open.m_dispatcher_id = held != m_held_at_takeover.end() ? held->second : "";
    open.m_assigned_at = MonotonicNow();
  }
}

json JobRun::AssignItems(const std::vector<uint64_t>& indexes,
                         const std::string& dispatcher_id) {
  json items = json::array();
  for (const uint64_t index : indexes) {
    RemoveReady(m_table, index, ItemPhase::kAssigned);
    OpenItem& item = m_table.m_open.at(index);
    item.m_dispatcher_id = dispatcher_id;
    item.m_assigned_at = MonotonicNow();
    items.push_back({{"i", index},
                     {"id", item.m_item.m_custom_id},
                     {"method", item.m_item.m_method},
                     {"url", item.m_item.m_url},
                     {"body", item.m_item.m_body},
                     {"idem", item.m_idempotent},
                     {"alone", item.m_suspect},
                     {"part", item.m_partial}});
  }
  return items;
}

void JobRun::WriteIntents(std::string_view capability, size_t max) {
  uint64_t ticket = 0;
  {
    absl::MutexLock lock(&m_mutex);
    for (const bool suspects : {false, true}) {
      for (const uint64_t index :
           FindReady(m_table, capability, max, suspects)) {
        const OpenItem& item = m_table.m_open.at(index);
        if (!item.m_idempotent && !item.m_has_intent) {
          ticket = AddPending({OutputKind::kIntent, index, ""});
          m_wake_requested = true;
        }
      }
    }
  }
  if (ticket != 0) {
    WaitUntilDurable(ticket, MonotonicNow() + kIntentTimeout);
  }
}

Result<json> JobRun::HandleTake(const json& request) {
  const std::string capability = request.at("need");
  const std::string dispatcher_id = request.at("holder");
  const std::string upstream = request.at("upstream");
  const size_t max = request.at("max").get<size_t>();
  {
    absl::MutexLock lock(&m_mutex);
    if (!m_serving) {
      return Fail(ResultCode::kNotOwner, "this VM does not run the job");
    }
    if (m_cancelling) {
      return json{{"items", json::array()}, {"drain", false}};
    }
  }
  if (capability.starts_with("s:")) {
    WriteIntents(capability, max);
  }
  absl::MutexLock lock(&m_mutex);
  const Millis now = MonotonicNow();
  const std::vector<uint64_t> suspects =
      FindReady(m_table, capability, 1, true);
  if (!suspects.empty() &&
      (m_quarantine_upstream.empty() || m_quarantine_upstream == upstream ||
       now - m_quarantine_used_at > kQuarantineTimeout)) {
    m_quarantine_upstream = upstream;
    m_quarantine_used_at = now;
    const OpenItem& suspect = m_table.m_open.at(suspects[0]);
    const bool may_run = suspect.m_idempotent || suspect.m_has_intent;
    return json{{"items", request.at("idle").get<bool>() && may_run
                              ? AssignItems(suspects, dispatcher_id)
                              : json::array()},
                {"drain", true}};
  }
  std::vector<uint64_t> indexes = FindReady(m_table, capability, max, false);
  std::erase_if(indexes,
                [&](uint64_t index) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                  const OpenItem& item = m_table.m_open.at(index);
                  return !item.m_idempotent && !item.m_has_intent;
                });
  return json{{"items", AssignItems(indexes, dispatcher_id)}, {"drain", false}};
}

void JobRun::FailAsUnknown(const OpenItem& item) {
  AddPending({OutputKind::kFailure, item.m_index,
              ErrorLine(item.m_item.m_custom_id, UnknownOutcome())});
}

uint64_t JobRun::ApplyOutcome(const ItemOutcome& outcome) {
  const uint64_t index = outcome.m_index;
  if (m_committing.contains(index)) {
    return m_last_ticket;
  }
  const auto found = m_table.m_open.find(index);
  const ItemAction action = DecideItemAction(m_table, outcome);
  if (found != m_table.m_open.end() && outcome.m_crash_suspected &&
      found->second.m_phase == ItemPhase::kAssigned) {
    found->second.m_suspect = true;
  }
  switch (action) {
    case ItemAction::kIgnore:
      return 0;
    case ItemAction::kFinish:
      return AddPending(
          {outcome.m_kind == OutcomeKind::kResponded && outcome.m_succeeded
               ? OutputKind::kResult
               : OutputKind::kFailure,
           index, outcome.m_line});
    case ItemAction::kFail:
      return AddPending({OutputKind::kFailure, index, outcome.m_line});
    case ItemAction::kCountAttempt:
      return AddPending({OutputKind::kAttempt, index, ""});
    case ItemAction::kRequeue:
      if (!outcome.m_partial.empty()) {
        found->second.m_partial = outcome.m_partial;
      }
      MakeReady(m_table, index);
      return 0;
  }
  return 0;
}

Status JobRun::RecordOutcomes(const std::vector<ItemOutcome>& outcomes,
                              Millis deadline) {
  uint64_t ticket = 0;
  {
    absl::MutexLock lock(&m_mutex);
    if (!m_serving) {
      return Fail(ResultCode::kNotOwner, "this VM does not run the job");
    }
    for (const ItemOutcome& outcome : outcomes) {
      ticket = std::max(ticket, ApplyOutcome(outcome));
    }
  }
  if (!WaitUntilDurable(ticket, deadline)) {
    return Fail(ResultCode::kDeadlineExceeded,
                "the results are not durable yet");
  }
  return {};
}

void JobRun::Reconcile() {
  const Millis now = MonotonicNow();
  std::map<std::string, std::vector<uint64_t>> overdue;
  std::string id;
  {
    absl::MutexLock lock(&m_mutex);
    id = m_job.m_id;
    for (const auto& [index, item] : m_table.m_open) {
      if (item.m_phase == ItemPhase::kAssigned &&
          now - item.m_assigned_at > kAssignmentCheckAge) {
        overdue[item.m_dispatcher_id].push_back(index);
      }
    }
  }
  for (auto& [dispatcher_id, indexes] : overdue) {
    if (dispatcher_id.empty()) {
      if (now >= m_intent_deadline) {
        ResolveLostItems(indexes, dispatcher_id);
      }
      continue;
    }
    const std::string vm = dispatcher_id.substr(0, dispatcher_id.rfind('#'));
    const Result<json> reply =
        m_context.m_call(vm, "batch.held", {{"job", id}}, kHeldTimeout);
    if (reply && reply->value("holder", "") == dispatcher_id) {
      std::set<uint64_t> held;
      for (const json& index : reply->value("items", json::array())) {
        held.insert(index.get<uint64_t>());
      }
      std::erase_if(indexes,
                    [&](uint64_t index) { return held.contains(index); });
    } else if (!reply) {
      const std::vector<Member> live = m_context.m_membership.Live();
      if (std::any_of(live.begin(), live.end(), [&](const Member& member) {
            return member.m_id == vm;
          })) {
        continue;
      }
    }
    ResolveLostItems(indexes, dispatcher_id);
  }
}

void JobRun::ResolveLostItems(const std::vector<uint64_t>& indexes,
                              const std::string& dispatcher_id) {
  absl::MutexLock lock(&m_mutex);
  for (const uint64_t index : indexes) {
    const auto found = m_table.m_open.find(index);
    if (found == m_table.m_open.end() ||
        found->second.m_phase != ItemPhase::kAssigned ||
        found->second.m_dispatcher_id != dispatcher_id) {
      continue;
    }
    Log(Severity::kInfo, LogPart::kBatch,
        "A dispatcher does not hold an assigned item any more.",
        {{"job", m_job.m_id}, {"item", index}, {"dispatcher", dispatcher_id}});
    if (DecideLostItemAction(found->second) == ItemAction::kRequeue) {
      MakeReady(m_table, index);
    } else {
      FailAsUnknown(found->second);
    }
  }
}

void JobRun::UpdateForecast() {
  absl::MutexLock lock(&m_mutex);
  const Millis now = MonotonicNow();
  const JobCounts& counts = m_job.m_counts;
  const int64_t ended = counts.m_completed + counts.m_failed;
  m_progress.push_back({now, ended});
  while (now - m_progress.front().first > kProgressWindow) {
    m_progress.pop_front();
  }
  if (!m_input_counted) {
    return;
  }
  const Forecast forecast = ForecastJob(
      {counts.m_total - ended, ended - m_progress.front().second,
       now - m_progress.front().first, m_job.m_deadline - WallNow()});
  if (forecast.m_late && !m_late) {
    Log(Severity::kWarning, LogPart::kBatch,
        "A job will not complete within its window.",
        {{"job", m_job.m_id},
         {"remaining", counts.m_total - ended},
         {"expected_ms", forecast.m_expected_remaining},
         {"left_ms", m_job.m_deadline - WallNow()}});
  }
  m_late = forecast.m_late;
  m_expected_end = forecast.m_expected_remaining < Millis(0)
                       ? Millis(0)
                       : WallNow() + forecast.m_expected_remaining;
}

std::optional<JobState> JobRun::FinalStateDue() {
  absl::MutexLock lock(&m_mutex);
  if (m_cancelling) {
    return JobState::kCancelled;
  }
  if (WallNow() >= m_job.m_deadline) {
    return JobState::kExpired;
  }
  if (m_input_ended && m_input_counted && m_table.m_open.empty() &&
      m_pending_records.empty()) {
    return JobState::kCompleted;
  }
  return std::nullopt;
}

bool JobRun::Finish(JobState state) {
  JobRecord job;
  {
    absl::MutexLock lock(&m_mutex);
    m_serving = false;
    m_cancelling = m_cancelling || state == JobState::kExpired;
    if (state == JobState::kCompleted) {
      m_job.m_state = JobState::kFinalizing;
    }
    job = m_job;
  }
  // Results that were accepted before the run stopped serving still count.
  const Status flushed = Flush();
  if (!flushed) {
    m_writer.reset();
    return false;
  }
  {
    absl::MutexLock lock(&m_mutex);
    job.m_counts = m_job.m_counts;
  }
  job.m_state = state;
  job.m_ended = WallNow();
  // The final record is written before the ledger is sealed: a job whose owner
  // fails in between has ended, whereas a job with a sealed ledger but no final
  // record could not be taken over.
  const Result<int64_t> saved = m_context.m_store.Save(job, m_revision);
  if (!saved) {
    LogError(Severity::kWarning, LogPart::kBatch,
             "Cannot write the final record of a job.", saved.error());
    const Result<bool> still_owner = CheckRecord();
    return still_owner && !*still_owner;
  }
  const Status sealed = m_writer->Seal();
  if (!sealed) {
    LogError(Severity::kWarning, LogPart::kBatch, "Cannot seal a job's output.",
             sealed.error());
  }
  Log(Severity::kInfo, LogPart::kBatch, "Finished a job.",
      {{"job", job.m_id},
       {"state", JobStateName(state)},
       {"completed", job.m_counts.m_completed},
       {"failed", job.m_counts.m_failed}});
  absl::MutexLock lock(&m_mutex);
  m_job = job;
  return true;
}

json JobRun::Announce() const {
  absl::MutexLock lock(&m_mutex);
  json open = json::object();
  for (const auto& sets : {&m_table.m_ready, &m_table.m_suspects}) {
    for (const auto& [capability, indexes] : *sets) {
      if (!indexes.empty()) {
        open[capability] = open.value(capability, uint64_t{0}) + indexes.size();
      }
    }
  }
  return {{"e", m_job.m_epoch},
          {"w", m_job.m_workspace},
          {"d", m_job.m_deadline.count()},
          {"s", JobStateName(m_job.m_state)},
          {"stop", m_cancelling},
          {"open", m_cancelling || !m_serving ? json::object() : open},
          {"n",
           {m_job.m_counts.m_total, m_job.m_counts.m_completed,
            m_job.m_counts.m_failed}},
          {"late", m_late},
          {"end", m_expected_end.count()}};
}

}  // namespace bronzecross
