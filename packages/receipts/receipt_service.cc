#include "receipts/receipt_service.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "http/http_error_reply.h"
#include "peers/message.h"

namespace bronzecross {
namespace {

using nlohmann::json;

// Timeout of one call to an owner. After it the call is repeated, as the
// request may still be running, unless the owner is not live any more; then the
// next owner is looked up. The timeout limits the wait for a paused owner.
constexpr Millis kCallTimeout{2000};
constexpr Millis kRetryInterval{50};
// Limits the store calls by requests that wait for a new owner.
constexpr Millis kLookupInterval{200};
constexpr Millis kMaintainInterval{5000};
constexpr Millis kCloseTimeout{5000};
constexpr int kMaxHops = 1;
constexpr int kMaxConflicts = 4;

json ToMessage(const KeyedRequest& request, int shard, int hops) {
  json headers = json::array();
  for (const HttpHeader& header : request.m_request.m_headers) {
    headers.push_back({header.m_name, header.m_value});
  }
  return {{"shard", shard},
          {"hops", hops},
          {"id", request.m_receipt_id},
          {"workspace", request.m_workspace},
          {"idempotent", request.m_idempotent},
          {"method", request.m_request.m_method},
          {"path", request.m_request.m_path},
          {"headers", std::move(headers)},
          {"body", request.m_request.m_body}};
}

KeyedRequest FromMessage(const json& message) {
  KeyedRequest request;
  message.at("id").get_to(request.m_receipt_id);
  message.at("workspace").get_to(request.m_workspace);
  message.at("idempotent").get_to(request.m_idempotent);
  message.at("method").get_to(request.m_request.m_method);
  message.at("path").get_to(request.m_request.m_path);
  message.at("body").get_to(request.m_request.m_body);
  for (const json& header : message.at("headers")) {
    request.m_request.m_headers.push_back({header.at(0), header.at(1)});
  }
  return request;
}

}  // namespace

ReceiptService::ReceiptService(ReceiptOptions options,
                               std::string prefix,
                               KvClient& store,
                               Membership& membership,
                               LedgerService& ledgers,
                               PeerServer& server)
    : m_options(options),
      m_prefix(prefix + "receipts/"),
      m_store(store),
      m_membership(membership),
      m_ledgers(ledgers) {
  server.Register("receipt.run", PeerDispatch::kOnWorker,
                  [this](std::string_view body, Millis deadline) {
                    return HandleRun(body, deadline);
                  });
}

ReceiptService::~ReceiptService() {
  Stop();
}

std::string ReceiptService::Key(int shard) const {
  return absl::StrCat(m_prefix, shard);
}

void ReceiptService::Start() {
  m_thread = std::thread([this] { Maintain(); });
}

void ReceiptService::Stop() {
  {
    absl::MutexLock lock(&m_mutex);
    if (m_stopping) {
      return;
    }
    m_stopping = true;
  }
  if (m_thread.joinable()) {
    m_thread.join();
  }
  for (int shard = 0; shard < kReceiptShards; ++shard) {
    ReleaseShard(shard);
  }
}

void ReceiptService::ReleaseShard(int shard) {
  std::shared_ptr<ReceiptShard> active;
  {
    absl::MutexLock lock(&m_slots[shard].m_takeover_mutex);
    active = std::move(m_slots[shard].m_shard);
  }
  if (active == nullptr) {
    return;
  }
  active->Close(MonotonicNow() + kCloseTimeout);
  const Result<std::optional<KvEntry>> entry = m_store.Get(Key(shard));
  if (!entry || !*entry) {
    return;
  }
  Result<ShardRecord> record = ParseShardRecord((*entry)->m_value);
  if (!record || record->m_owner != m_membership.Self().m_id) {
    return;
  }
  record->m_owner.clear();
  const Result<int64_t> released = m_store.Commit(
      {{Key(shard), SerializeShardRecord(*record), (*entry)->m_mod_revision}});
  if (!released) {
    LogError(Severity::kWarning, LogPart::kOnline,
             "Cannot release a receipt shard.", released.error());
  }
}

HttpReply ReceiptService::Run(std::string_view workspace,
                              std::string_view key,
                              bool idempotent,
                              const HttpRequest& request,
                              Millis timeout) {
  KeyedRequest keyed;
  keyed.m_receipt_id = ReceiptId(workspace, key);
  keyed.m_workspace = workspace;
  keyed.m_idempotent = idempotent;
  keyed.m_request.m_method = request.m_method;
  keyed.m_request.m_path = request.m_path;
  keyed.m_request.m_headers = request.m_headers;
  keyed.m_request.m_body = request.m_body;
  // The owner does not need the caller's API key, and upstreams must not get
  // it.
  std::erase_if(keyed.m_request.m_headers, [](const HttpHeader& header) {
    return !FindHeader({&header, 1}, "Authorization").empty();
  });
  const int shard = ShardOf(keyed.m_receipt_id);
  const Millis deadline = MonotonicNow() + timeout;
  bool may_have_run = false;
  Error last{ResultCode::kPeerUnavailable,
             "the owner of the receipt shard was not found"};
  do {
    const std::string owner = FindOwner(shard);
    const Millis call_deadline =
        std::min(deadline, MonotonicNow() + kCallTimeout);
    Result<HttpReply> reply =
        owner.empty() ? Result<HttpReply>(tl::unexpected<Error>(last))
        : owner == m_membership.Self().m_id
            ? RunOnVm(owner, shard, keyed, deadline, 0)
            : RunOnVm(owner, shard, keyed, call_deadline, 0);
    if (reply) {
      CountMetric("bronzecross_receipts_total", {{"outcome", "answered"}});
      return std::move(*reply);
    }
    last = reply.error();
    may_have_run = may_have_run || last.m_run == RunState::kUnknown;
    // A live owner that timed out may still be running the request, so the call
    // is repeated without a new lookup.
    if (last.m_code != ResultCode::kDeadlineExceeded || !IsLive(owner)) {
      ForgetOwner(shard);
      SleepFor(kRetryInterval);
    }
  } while (MonotonicNow() < deadline);
  CountMetric("bronzecross_receipts_total",
              {{"outcome", may_have_run ? "unknown" : "not_run"}});
  last.m_run = may_have_run ? RunState::kUnknown : RunState::kNotRun;
  last.m_retry_after = Millis(1000);
  return ErrorReply(last);
}

std::string ReceiptService::FindOwner(int shard) {
  Slot& slot = m_slots[shard];
  {
    absl::MutexLock lock(&slot.m_mutex);
    if (!slot.m_owner.empty() && IsLive(slot.m_owner)) {
      return slot.m_owner;
    }
    if (MonotonicNow() < slot.m_next_lookup) {
      return ChooseShardOwner(shard, m_membership.Live());
    }
    slot.m_next_lookup = MonotonicNow() + kLookupInterval;
  }
  std::string owner;
  const Result<std::optional<KvEntry>> entry = m_store.Get(Key(shard));
  if (entry && *entry) {
    const Result<ShardRecord> record = ParseShardRecord((*entry)->m_value);
    owner = record && IsLive(record->m_owner) ? record->m_owner : "";
  }
  if (owner.empty()) {
    return ChooseShardOwner(shard, m_membership.Live());
  }
  absl::MutexLock lock(&slot.m_mutex);
  slot.m_owner = owner;
  return owner;
}

void ReceiptService::ForgetOwner(int shard) {
  absl::MutexLock lock(&m_slots[shard].m_mutex);
  m_slots[shard].m_owner.clear();
}

bool ReceiptService::IsLive(std::string_view vm) const {
  const std::vector<Member> live = m_membership.Live();
  return std::any_of(live.begin(), live.end(),
                     [vm](const Member& member) { return member.m_id == vm; });
}

Result<HttpReply> ReceiptService::RunOnVm(const std::string& vm,
                                          int shard,
                                          const KeyedRequest& request,
                                          Millis deadline,
                                          int hops) {
  if (vm == m_membership.Self().m_id) {
    return RunLocally(shard, request, deadline);
  }
  const Result<json> reply_message =
      m_membership.Call(vm, "receipt.run", ToMessage(request, shard, hops),
                        deadline - MonotonicNow());
  if (!reply_message) {
    return tl::unexpected<Error>(reply_message.error());
  }
  try {
    return ReplyFromJson(*reply_message);
  } catch (const json::exception&) {
    return FailMayHaveRun(ResultCode::kPeerUnavailable,
                          "the reply to receipt.run is malformed");
  }
}

Result<std::string> ReceiptService::HandleRun(std::string_view body,
                                              Millis deadline) {
  const Result<json> message = DecodeMessage(body);
  if (!message) {
    return tl::unexpected<Error>(message.error());
  }
  KeyedRequest request;
  int shard = 0;
  int hops = 0;
  try {
    request = FromMessage(*message);
    message->at("shard").get_to(shard);
    message->at("hops").get_to(hops);
  } catch (const json::exception&) {
    return Fail(ResultCode::kMalformedBody,
                "the receipt.run message is malformed");
  }
  if (shard != ShardOf(request.m_receipt_id)) {
    return Fail(ResultCode::kMalformedBody,
                "the receipt.run message names the wrong shard");
  }
  Result<HttpReply> reply = RunLocally(shard, request, deadline);
  if (!reply && reply.error().m_code == ResultCode::kNotOwner &&
      hops < kMaxHops) {
    // This VM may reach an owner that the calling VM cannot reach.
    const std::string owner = FindOwner(shard);
    if (!owner.empty() && owner != m_membership.Self().m_id) {
      reply = RunOnVm(owner, shard, request, deadline, hops + 1);
    }
  }
  return reply ? Result<std::string>(EncodeMessage(ReplyToJson(*reply)))
               : tl::unexpected<Error>(reply.error());
}

Result<HttpReply> ReceiptService::RunLocally(int shard,
                                             const KeyedRequest& request,
                                             Millis deadline) {
  const Result<std::shared_ptr<ReceiptShard>> active = Open(shard);
  if (!active) {
    return tl::unexpected<Error>(active.error());
  }
  return (*active)->Run(request, deadline, m_executor);
}

Result<std::shared_ptr<ReceiptShard>> ReceiptService::Open(int shard) {
  Slot& slot = m_slots[shard];
  std::shared_ptr<ReceiptShard> broken;
  absl::MutexLock lock(&slot.m_takeover_mutex);
  if (slot.m_shard != nullptr && !slot.m_shard->IsBroken()) {
    return slot.m_shard;
  }
  {
    absl::MutexLock stop_lock(&m_mutex);
    if (m_stopping) {
      return Fail(ResultCode::kNotOwner, "this VM is shutting down");
    }
  }
  if (MonotonicNow() < slot.m_next_takeover) {
    return Fail(ResultCode::kNotOwner, "this VM does not own the shard");
  }
  broken = std::move(slot.m_shard);
  slot.m_shard = nullptr;
  Result<std::shared_ptr<ReceiptShard>> taken = TakeOver(shard);
  if (taken) {
    slot.m_shard = *taken;
  } else {
    slot.m_next_takeover = MonotonicNow() + kLookupInterval;
  }
  return taken;
}

Result<ShardRecord> ReceiptService::Claim(int shard) {
  const std::string& own_id = m_membership.Self().m_id;
  for (int i = 0; i < kMaxConflicts; ++i) {
    const Result<std::optional<KvEntry>> entry = m_store.Get(Key(shard));
    if (!entry) {
      return tl::unexpected<Error>(
          Error{entry.error().m_code, entry.error().m_message});
    }
    ShardRecord record;
    if (*entry) {
      Result<ShardRecord> parsed = ParseShardRecord((*entry)->m_value);
      if (!parsed) {
        return parsed;
      }
      record = std::move(*parsed);
    }
    if (record.m_owner == own_id) {
      return record;
    }
    if ((!record.m_owner.empty() && IsLive(record.m_owner)) ||
        ChooseShardOwner(shard, m_membership.Live()) != own_id) {
      return Fail(ResultCode::kNotOwner, "another VM owns the shard");
    }
    record.m_owner = own_id;
    ++record.m_epoch;
    if (record.m_ledger.empty()) {
      record.m_ledger = absl::StrCat("receipts-", shard, "-", RandomId());
    }
    const Result<int64_t> saved =
        m_store.Commit({{Key(shard), SerializeShardRecord(record),
                         *entry ? (*entry)->m_mod_revision : 0}});
    if (saved) {
      return record;
    }
    if (saved.error().m_code != ResultCode::kConflict) {
      return tl::unexpected<Error>(
          Error{saved.error().m_code, saved.error().m_message});
    }
  }
  return Fail(ResultCode::kNotOwner,
              "the shard's record was changed concurrently too often");
}

Result<std::shared_ptr<ReceiptShard>> ReceiptService::TakeOver(int shard) {
  const Millis start = MonotonicNow();
  const Result<ShardRecord> record = Claim(shard);
  if (!record) {
    return tl::unexpected<Error>(record.error());
  }
  Result<std::unique_ptr<LedgerWriter>> writer =
      m_ledgers.TakeOver(record->m_ledger);
  if (!writer && writer.error().m_code == ResultCode::kNotFound) {
    writer = m_ledgers.Create(record->m_ledger);
  }
  if (!writer) {
    // The run state is kNotRun, as no request was sent to an upstream.
    return tl::unexpected<Error>(
        Error{writer.error().m_code, writer.error().m_message});
  }
  const std::shared_ptr<ReceiptShard> active = std::make_shared<ReceiptShard>(
      m_options, m_ledgers, record->m_ledger, std::move(*writer));
  const Status loaded = active->Load();
  if (!loaded) {
    return tl::unexpected<Error>(
        Error{loaded.error().m_code, loaded.error().m_message});
  }
  Log(Severity::kInfo, LogPart::kOnline, "Took over a receipt shard.",
      {{"shard", shard},
       {"epoch", record->m_epoch},
       {"ledger", record->m_ledger},
       {"ms", MonotonicNow() - start}});
  return active;
}

void ReceiptService::Maintain() {
  while (true) {
    {
      absl::MutexLock lock(&m_mutex);
      if (m_mutex.AwaitWithTimeout(
              absl::Condition(&m_stopping),
              absl::Milliseconds(kMaintainInterval.count()))) {
        return;
      }
    }
    for (int shard = 0; shard < kReceiptShards; ++shard) {
      std::shared_ptr<ReceiptShard> active;
      {
        absl::MutexLock lock(&m_slots[shard].m_takeover_mutex);
        active = m_slots[shard].m_shard;
      }
      if (active != nullptr && active->NeedsCompaction()) {
        CompactShard(shard, active);
      }
    }
  }
}

void ReceiptService::CompactShard(int shard,
                                  const std::shared_ptr<ReceiptShard>& active) {
  const std::string old_ledger = active->LedgerId();
  const std::string ledger = absl::StrCat("receipts-", shard, "-", RandomId());
  const Status compacted = active->Compact(
      ledger, [&] { return SaveLedger(shard, old_ledger, ledger); });
  if (!compacted) {
    LogError(Severity::kWarning, LogPart::kOnline,
             "Cannot compact a receipt shard.", compacted.error());
    if (!active->IsBroken()) {
      const Status removed = m_ledgers.Delete(ledger);
      static_cast<void>(removed);
    }
    return;
  }
  Log(Severity::kInfo, LogPart::kOnline, "Compacted a receipt shard.",
      {{"shard", shard}, {"ledger", ledger}});
  const Status removed = m_ledgers.Delete(old_ledger);
  if (!removed) {
    LogError(Severity::kWarning, LogPart::kOnline,
             "Cannot delete the old ledger of a compacted shard.",
             removed.error());
  }
}

Status ReceiptService::SaveLedger(int shard,
                                  const std::string& old_ledger,
                                  const std::string& ledger) {
  const Result<std::optional<KvEntry>> entry = m_store.Get(Key(shard));
  if (!entry) {
    return tl::unexpected<Error>(
        Error{entry.error().m_code, entry.error().m_message});
  }
  Result<ShardRecord> record =
      *entry ? ParseShardRecord((*entry)->m_value) : ShardRecord();
  if (!record || record->m_owner != m_membership.Self().m_id ||
      record->m_ledger != old_ledger) {
    return Fail(ResultCode::kConflict, "the shard has another owner or ledger");
  }
  record->m_ledger = ledger;
  ++record->m_epoch;
  const Result<int64_t> saved = m_store.Commit(
      {{Key(shard), SerializeShardRecord(*record), (*entry)->m_mod_revision}});
  return saved ? Status() : tl::unexpected<Error>(saved.error());
}

}  // namespace bronzecross
