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

// Results are appended in groups: so often, or at once when so many wait.
constexpr Millis kGroupInterval{50};
constexpr size_t kGroupItems = 200;
// One append carries at most so many bytes, well under a ledger record batch.
constexpr size_t kGroupBytes = 4 << 20;
// Items read ahead; also bounded in bytes.
constexpr size_t kReadAheadItems = 1000;
constexpr size_t kReadAheadBytes = 8 << 20;
constexpr size_t kReadBytes = 256 << 10;
constexpr Millis kRetryInterval{300};
constexpr Millis kReconcileInterval{1000};
// An item handed out for this long is looked for at its dispatcher. Longer than
// kTakeTimeout, so that the answer that carried it has arrived or was dropped.
constexpr Millis kLookAfter{4000};
constexpr Millis kIntentTimeout{1500};
constexpr Millis kHeldTimeout{1000};
// After a takeover dispatchers get this long to offer results of items that
// have an intent but no result.
constexpr Millis kOfferGrace{3000};
constexpr Millis kQuarantineLife{5000};
constexpr Millis kProgressWindow{30'000};

Error UnknownOutcome() {
  return Error{ResultCode::kOutcomeUnknown,
               "the item may have run; it is not run again",
               RunState::kUnknown};
}

}  // namespace

std::string HolderName(std::string_view vm, int64_t incarnation) {
  return absl::StrCat(std::string(vm), "#", incarnation);
}

JobRun::JobRun(JobContext& context, StoredJob job, bool fresh)
    : m_context(context),
      m_fresh(fresh),
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

void JobRun::Remind() {
  absl::MutexLock lock(&m_mutex);
  m_check_record = true;
  m_hurry = true;
}

bool JobRun::Wait(Millis duration) {
  absl::MutexLock lock(&m_mutex);
  const auto wake = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    return m_stopping || m_hurry;
  };
  m_mutex.AwaitWithTimeout(absl::Condition(&wake),
                           absl::Milliseconds(duration.count()));
  m_hurry = false;
  return !m_stopping;
}

void JobRun::Run() {
  bool going = true;
  while (going) {
    if (m_writer == nullptr) {
      const Status opened = Open();
      if (!opened) {
        if (opened.error().m_code == ResultCode::kNotOwner) {
          break;
        }
        LogError(Severity::kWarning, LogPart::kBatch, "Cannot open a job.",
                 opened.error());
        going = Wait(kRetryInterval);
        continue;
      }
    }
    going = Round();
  }
  absl::MutexLock lock(&m_mutex);
  m_serving = false;
  m_ended = true;
}

bool JobRun::Round() {
  const bool going = Wait(kGroupInterval);
  bool check = false;
  {
    absl::MutexLock lock(&m_mutex);
    std::swap(check, m_check_record);
  }
  if (check) {
    const Result<bool> own = CheckRecord();
    if (own && !*own) {
      return false;
    }
  }
  const Status flushed = Flush();
  if (!flushed) {
    LogError(Severity::kWarning, LogPart::kBatch,
             "Cannot append results; the ledger is opened again.",
             flushed.error());
    m_writer.reset();
    return going && Wait(kRetryInterval);
  }
  if (!going) {
    return false;
  }
  const std::optional<JobState> end = DueEnd();
  if (end) {
    return !Finish(*end) && Wait(kRetryInterval);
  }
  if (!m_counted) {
    const Status counted = CountInput();
    m_counted = counted.has_value();
  }
  const Status refilled = Refill();
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
  if (!m_fresh) {
    AskForHeldItems();
  }
  m_unknown_from = MonotonicNow() + kOfferGrace;
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
  if (m_fresh) {
    // Whoever took the job over since then fences this writer, so the record
    // need not be read.
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
  // The record is read after the epoch was raised: a VM that took the job over
  // later fences this writer, and one that did so before is seen here.
  const Result<bool> own = CheckRecord();
  if (!own) {
    return tl::unexpected<Error>(own.error());
  }
  if (!*own) {
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
  ItemTable seen;
  int64_t completed = 0;
  int64_t failed = 0;
  const Status read =
      m_context.m_ledgers.Read(id, 0, [&](const LedgerRecord& record) {
        Result<OutputRecord> output = DecodeOutput(record.m_payload);
        if (!output) {
          LogError(Severity::kError, LogPart::kBatch, "Skipped a record.",
                   output.error());
          return true;
        }
        const uint64_t index = output->m_index;
        if (output->m_kind == OutputKind::kTry) {
          ++seen.m_tries[index];
        } else if (output->m_kind == OutputKind::kIntent) {
          seen.m_intents.insert(index);
        } else if (!IsDone(seen, index)) {
          SetDone(seen, index);
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
  for (uint64_t i = 0; i < seen.m_done.size(); ++i) {
    if (seen.m_done[i] && !IsDone(m_table, i)) {
      SetDone(m_table, i);
    }
  }
  for (const auto& [index, tries] : seen.m_tries) {
    if (!IsDone(m_table, index)) {
      m_table.m_tries[index] = tries;
    }
  }
  for (const uint64_t index : seen.m_intents) {
    if (!IsDone(m_table, index)) {
      m_table.m_intents.insert(index);
    }
  }
  // Results that reached the ledger although their append failed are not
  // appended again.
  std::erase_if(m_group, [&](const Pending& pending)
                             ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                               return IsDone(m_table, pending.m_record.m_index);
                             });
  std::erase_if(m_ending, [&](uint64_t index) ABSL_EXCLUSIVE_LOCKS_REQUIRED(
                              m_mutex) { return IsDone(m_table, index); });
  return {};
}

void JobRun::AskForHeldItems() {
  std::string id;
  {
    absl::MutexLock lock(&m_mutex);
    id = m_job.m_id;
    if (m_serving || m_next_index > 0) {
      return;  // this VM was the owner before and knows who holds what
    }
  }
  std::map<uint64_t, std::string> held;
  for (const Member& member : m_context.m_membership.Live()) {
    const Result<json> answer = m_context.m_call(member.m_id, "batch.held",
                                                 {{"job", id}}, kHeldTimeout);
    if (!answer) {
      continue;
    }
    for (const json& index : answer->value("items", json::array())) {
      held[index.get<uint64_t>()] = answer->value("holder", "");
    }
  }
  absl::MutexLock lock(&m_mutex);
  m_held = std::move(held);
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
    const Result<bool> more =
        reader.ReadLines(8 * kReadBytes, [&](std::string_view) { ++total; });
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
    LeaveReady(m_table, record.m_index,
               record.m_kind == OutputKind::kTry ||
                       record.m_kind == OutputKind::kIntent
                   ? ItemPhase::kIntent
                   : ItemPhase::kEnding);
  }
  if (record.m_kind != OutputKind::kTry &&
      record.m_kind != OutputKind::kIntent) {
    m_ending.insert(record.m_index);
  }
  m_group.push_back({std::move(record), ++m_last_ticket});
  m_hurry = m_hurry || m_group.size() >= kGroupItems;
  return m_last_ticket;
}

Status JobRun::Flush() {
  while (true) {
    std::vector<Pending> group;
    {
      absl::MutexLock lock(&m_mutex);
      size_t bytes = 0;
      size_t count = 0;
      while (count < m_group.size() && bytes < kGroupBytes) {
        bytes += m_group[count].m_record.m_line.size();
        ++count;
      }
      group.assign(m_group.begin(),
                   m_group.begin() + static_cast<ptrdiff_t>(count));
    }
    if (group.empty()) {
      return {};
    }
    std::vector<std::string> payloads;
    payloads.reserve(group.size());
    for (const Pending& pending : group) {
      payloads.push_back(EncodeOutput(pending.m_record));
    }
    const Result<uint64_t> appended = m_writer->Append(payloads);
    if (!appended) {
      return tl::unexpected<Error>(appended.error());
    }
    absl::MutexLock lock(&m_mutex);
    for (const Pending& pending : group) {
      ApplyRecord(pending.m_record);
    }
    m_group.erase(m_group.begin(),
                  m_group.begin() + static_cast<ptrdiff_t>(group.size()));
    m_durable_ticket = group.back().m_ticket;
  }
}

void JobRun::ApplyRecord(const OutputRecord& record) {
  const uint64_t index = record.m_index;
  const auto found = m_table.m_open.find(index);
  switch (record.m_kind) {
    case OutputKind::kTry:
      m_table.m_tries[index]++;
      if (found != m_table.m_open.end()) {
        found->second.m_tries++;
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
      m_ending.erase(index);
      SetDone(m_table, index);
      CountMetric("bronzecross_batch_items_total",
                  {{"end", record.m_kind == OutputKind::kResult ? "completed"
                                                                : "failed"}});
  }
}

bool JobRun::WaitForTicket(uint64_t ticket, Millis deadline) {
  absl::MutexLock lock(&m_mutex);
  const auto settled = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    return m_durable_ticket >= ticket || m_ended || m_stopping;
  };
  m_mutex.AwaitWithTimeout(
      absl::Condition(&settled),
      absl::Milliseconds((deadline - MonotonicNow()).count()));
  return m_durable_ticket >= ticket;
}

Status JobRun::Refill() {
  if (m_input_ended) {
    return {};
  }
  const std::shared_ptr<const ConfigSnapshot> config = m_context.m_config.Get();
  while (true) {
    {
      absl::MutexLock lock(&m_mutex);
      if (m_table.m_open.size() >= kReadAheadItems ||
          m_open_bytes >= kReadAheadBytes || m_stopping ||
          m_group.size() >= kReadAheadItems) {
        return {};
      }
    }
    const Result<bool> more =
        m_reader->ReadLines(kReadBytes, [&](std::string_view line) {
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

void JobRun::FinishInvalid(uint64_t index,
                           std::string_view custom_id,
                           const Error& error) {
  AddPending({OutputKind::kFailure, index, ErrorLine(custom_id, error)});
}

void JobRun::AddLine(std::string_view line, const ConfigSnapshot& config) {
  const uint64_t index = m_next_index++;
  Result<BatchItem> parsed = ParseBatchItem(line);
  const bool repeated =
      parsed && !m_custom_ids.insert(Hash64(parsed->m_custom_id)).second;
  if (IsDone(m_table, index) || m_ending.contains(index)) {
    return;
  }
  if (!parsed) {
    FinishInvalid(index, "", parsed.error());
    return;
  }
  if (repeated) {
    FinishInvalid(index, parsed->m_custom_id,
                  Error{ResultCode::kInvalidArgument,
                        "the custom_id was used by an earlier item"});
    return;
  }
  OpenItem item;
  item.m_index = index;
  const Result<ItemRoute> route = FindItemRoute(*parsed, config);
  if (!route) {
    FinishInvalid(index, parsed->m_custom_id, route.error());
    return;
  }
  item.m_need = route->m_need;
  item.m_idempotent = route->m_idempotent;
  item.m_item = std::move(*parsed);
  const auto tries = m_table.m_tries.find(index);
  item.m_tries = tries != m_table.m_tries.end() ? tries->second : 0;
  item.m_suspect = item.m_tries > 0;
  m_open_bytes += item.m_item.m_body.size();
  const bool has_intent = m_table.m_intents.contains(index);
  item.m_has_intent = has_intent;
  AddReady(m_table, std::move(item));
  const auto held = m_held.find(index);
  if (held != m_held.end() || has_intent) {
    LeaveReady(m_table, index, ItemPhase::kOut);
    OpenItem& open = m_table.m_open.at(index);
    open.m_holder = held != m_held.end() ? held->second : "";
    open.m_out_since = MonotonicNow();
  }
}

json JobRun::HandOut(const std::vector<uint64_t>& indexes,
                     const std::string& holder) {
  json items = json::array();
  for (const uint64_t index : indexes) {
    LeaveReady(m_table, index, ItemPhase::kOut);
    OpenItem& item = m_table.m_open.at(index);
    item.m_holder = holder;
    item.m_out_since = MonotonicNow();
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

void JobRun::WriteIntents(std::string_view need, size_t max) {
  uint64_t ticket = 0;
  {
    absl::MutexLock lock(&m_mutex);
    for (const bool suspects : {false, true}) {
      for (const uint64_t index : FindReady(m_table, need, max, suspects)) {
        const OpenItem& item = m_table.m_open.at(index);
        if (!item.m_idempotent && !item.m_has_intent) {
          ticket = AddPending({OutputKind::kIntent, index, ""});
          m_hurry = true;
        }
      }
    }
  }
  if (ticket != 0) {
    WaitForTicket(ticket, MonotonicNow() + kIntentTimeout);
  }
}

Result<json> JobRun::Take(const json& request) {
  const std::string need = request.at("need");
  const std::string holder = request.at("holder");
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
  if (need.starts_with("s:")) {
    WriteIntents(need, max);
  }
  absl::MutexLock lock(&m_mutex);
  const Millis now = MonotonicNow();
  const std::vector<uint64_t> suspects = FindReady(m_table, need, 1, true);
  if (!suspects.empty() && (m_quarantine.empty() || m_quarantine == upstream ||
                            now - m_quarantine_at > kQuarantineLife)) {
    m_quarantine = upstream;
    m_quarantine_at = now;
    const OpenItem& suspect = m_table.m_open.at(suspects[0]);
    const bool may_run = suspect.m_idempotent || suspect.m_has_intent;
    return json{{"items", request.at("idle").get<bool>() && may_run
                              ? HandOut(suspects, holder)
                              : json::array()},
                {"drain", true}};
  }
  std::vector<uint64_t> indexes = FindReady(m_table, need, max, false);
  std::erase_if(indexes,
                [&](uint64_t index) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                  const OpenItem& item = m_table.m_open.at(index);
                  return !item.m_idempotent && !item.m_has_intent;
                });
  return json{{"items", HandOut(indexes, holder)}, {"drain", false}};
}

void JobRun::GiveUpUnknown(const OpenItem& item) {
  AddPending({OutputKind::kFailure, item.m_index,
              ErrorLine(item.m_item.m_custom_id, UnknownOutcome())});
}

uint64_t JobRun::TakeOutcome(const ItemOutcome& outcome) {
  const uint64_t index = outcome.m_index;
  if (m_ending.contains(index)) {
    return m_last_ticket;
  }
  const auto found = m_table.m_open.find(index);
  const ItemVerdict verdict = JudgeOutcome(m_table, outcome);
  if (found != m_table.m_open.end() && outcome.m_upstream_died &&
      found->second.m_phase == ItemPhase::kOut) {
    found->second.m_suspect = true;
  }
  switch (verdict) {
    case ItemVerdict::kIgnore:
      return 0;
    case ItemVerdict::kFinish:
      return AddPending(
          {outcome.m_kind == OutcomeKind::kAnswered && outcome.m_succeeded
               ? OutputKind::kResult
               : OutputKind::kFailure,
           index, outcome.m_line});
    case ItemVerdict::kGiveUp:
      return AddPending({OutputKind::kFailure, index, outcome.m_line});
    case ItemVerdict::kCharge:
      return AddPending({OutputKind::kTry, index, ""});
    case ItemVerdict::kRequeue:
      if (!outcome.m_partial.empty()) {
        found->second.m_partial = outcome.m_partial;
      }
      MakeReady(m_table, index);
      return 0;
  }
  return 0;
}

Status JobRun::Done(const std::vector<ItemOutcome>& outcomes, Millis deadline) {
  uint64_t ticket = 0;
  {
    absl::MutexLock lock(&m_mutex);
    if (!m_serving) {
      return Fail(ResultCode::kNotOwner, "this VM does not run the job");
    }
    for (const ItemOutcome& outcome : outcomes) {
      ticket = std::max(ticket, TakeOutcome(outcome));
    }
  }
  if (!WaitForTicket(ticket, deadline)) {
    return Fail(ResultCode::kDeadlineExceeded,
                "the results are not durable yet");
  }
  return {};
}

void JobRun::Reconcile() {
  const Millis now = MonotonicNow();
  std::map<std::string, std::vector<uint64_t>> old;
  std::string id;
  {
    absl::MutexLock lock(&m_mutex);
    id = m_job.m_id;
    for (const auto& [index, item] : m_table.m_open) {
      if (item.m_phase == ItemPhase::kOut &&
          now - item.m_out_since > kLookAfter) {
        old[item.m_holder].push_back(index);
      }
    }
  }
  for (auto& [holder, indexes] : old) {
    if (holder.empty()) {
      if (now >= m_unknown_from) {
        RequeueLost(indexes, holder);
      }
      continue;
    }
    const std::string vm = holder.substr(0, holder.rfind('#'));
    const Result<json> answer =
        m_context.m_call(vm, "batch.held", {{"job", id}}, kHeldTimeout);
    if (answer && answer->value("holder", "") == holder) {
      std::set<uint64_t> held;
      for (const json& index : answer->value("items", json::array())) {
        held.insert(index.get<uint64_t>());
      }
      std::erase_if(indexes,
                    [&](uint64_t index) { return held.contains(index); });
    } else if (!answer) {
      const std::vector<Member> live = m_context.m_membership.Live();
      if (std::any_of(live.begin(), live.end(), [&](const Member& member) {
            return member.m_id == vm;
          })) {
        continue;
      }
    }
    RequeueLost(indexes, holder);
  }
}

void JobRun::RequeueLost(const std::vector<uint64_t>& indexes,
                         const std::string& holder) {
  absl::MutexLock lock(&m_mutex);
  for (const uint64_t index : indexes) {
    const auto found = m_table.m_open.find(index);
    if (found == m_table.m_open.end() ||
        found->second.m_phase != ItemPhase::kOut ||
        found->second.m_holder != holder) {
      continue;
    }
    Log(Severity::kInfo, LogPart::kBatch, "A dispatcher lost an item.",
        {{"job", m_job.m_id}, {"item", index}, {"dispatcher", holder}});
    if (JudgeLostItem(found->second) == ItemVerdict::kRequeue) {
      MakeReady(m_table, index);
    } else {
      GiveUpUnknown(found->second);
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
  if (!m_counted) {
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
         {"expected_ms", forecast.m_expected},
         {"left_ms", m_job.m_deadline - WallNow()}});
  }
  m_late = forecast.m_late;
  m_expected_end = forecast.m_expected < Millis(0)
                       ? Millis(0)
                       : WallNow() + forecast.m_expected;
}

std::optional<JobState> JobRun::DueEnd() {
  absl::MutexLock lock(&m_mutex);
  if (m_cancelling) {
    return JobState::kCancelled;
  }
  if (WallNow() >= m_job.m_deadline) {
    return JobState::kExpired;
  }
  if (m_input_ended && m_counted && m_table.m_open.empty() && m_group.empty()) {
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
  // Results that were taken before the run stopped serving still count.
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
  // The record comes before the seal: a job whose owner dies in between is
  // final, while a sealed ledger without it could not be taken over.
  const Result<int64_t> saved = m_context.m_store.Save(job, m_revision);
  if (!saved) {
    LogError(Severity::kWarning, LogPart::kBatch, "Cannot finish a job.",
             saved.error());
    const Result<bool> own = CheckRecord();
    return own && !*own;
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
    for (const auto& [need, indexes] : *sets) {
      if (!indexes.empty()) {
        open[need] = open.value(need, uint64_t{0}) + indexes.size();
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
