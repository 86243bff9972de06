#include "receipts/receipt_shard.h"

#include <map>

#include <doctest/doctest.h>

namespace bronzecross {
namespace {

using Logs = std::map<std::string, std::vector<std::string>>;

class MemoryWriter : public LedgerWriter {
 public:
  explicit MemoryWriter(std::vector<std::string>& log) : m_log(log) {}
  Result<uint64_t> Append(std::span<const std::string> payloads) override {
    const uint64_t first = m_log.size();
    m_log.insert(m_log.end(), payloads.begin(), payloads.end());
    return first;
  }
  Status Seal() override { return {}; }
  uint64_t Epoch() const override { return 1; }
  uint64_t NextSequence() const override { return m_log.size(); }

 private:
  std::vector<std::string>& m_log;
};

class MemoryLedger : public LedgerService {
 public:
  Result<std::unique_ptr<LedgerWriter>> Create(std::string_view id) override {
    return std::make_unique<MemoryWriter>(m_logs[std::string(id)]);
  }
  Result<std::unique_ptr<LedgerWriter>> TakeOver(std::string_view id) override {
    return Create(id);
  }
  Status Read(std::string_view id,
              uint64_t first,
              const LedgerVisitor& visit) override {
    const std::vector<std::string>& log = m_logs[std::string(id)];
    for (uint64_t at = first; at < log.size(); ++at) {
      if (!visit({at, 1, log[at]})) {
        break;
      }
    }
    return {};
  }
  Status Delete(std::string_view id) override {
    m_logs.erase(std::string(id));
    return {};
  }

 private:
  Logs m_logs;
};

KeyedRequest Request(int number) {
  KeyedRequest request;
  request.m_receipt_id = std::to_string(number);
  request.m_request.m_body = "body " + std::to_string(number);
  return request;
}

}  // namespace

// Guards against a compaction that loses or confuses receipts, including those
// whose replies were only in the old ledger.
TEST_CASE("requests get the same replies after a compaction and a takeover") {
  MemoryLedger ledgers;
  ReceiptOptions options;
  options.m_max_reply_bytes = 40;
  int runs = 0;
  const ReceiptExecutor executor = [&runs](const std::string&,
                                           const HttpRequest& request) {
    ++runs;
    HttpReply reply;
    reply.m_body = "reply to " + request.m_body;
    return reply;
  };
  const Millis deadline = MonotonicNow() + Millis(10'000);
  const auto check = [&](ReceiptShard& shard, int count) {
    for (int i = 0; i < count; ++i) {
      const Result<HttpReply> reply = shard.Run(Request(i), deadline, executor);
      REQUIRE(reply.has_value());
      CHECK(reply->m_body == "reply to body " + std::to_string(i));
    }
  };
  ReceiptShard shard(options, ledgers, "old", *ledgers.Create("old"));
  check(shard, 20);
  CHECK(runs == 20);
  REQUIRE(shard.Compact("new", [] { return Status(); }).has_value());
  CHECK(shard.LedgerId() == "new");
  CHECK(ledgers.Delete("old").has_value());
  check(shard, 25);
  CHECK(runs == 25);

  ReceiptShard next(options, ledgers, "new", *ledgers.TakeOver("new"));
  REQUIRE(next.Load().has_value());
  check(next, 25);
  CHECK(runs == 25);
  CHECK_FALSE(next.Compact("lost",
                           [] {
                             return Status(FailMayHaveRun(
                                 ResultCode::kStoreUnavailable, "reply lost"));
                           })
                  .has_value());
  CHECK(next.IsBroken());
}

}  // namespace bronzecross
