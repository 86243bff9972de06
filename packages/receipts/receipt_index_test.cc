#include "receipts/receipt_index.h"

#include <doctest/doctest.h>

#include "receipts/shard_assignment.h"

namespace bronzecross {
namespace {

ReceiptRecord Record(ReceiptKind kind, const std::string& id, int64_t at) {
  ReceiptRecord record;
  record.m_kind = kind;
  record.m_id = id;
  record.m_request_hash = 7;
  record.m_created_at = Millis(at);
  record.m_reply.m_body = "reply to " + id;
  return record;
}

}  // namespace

// Guards against running a request again after a takeover, and against
// returning the reply of a different request.
TEST_CASE("the replayed records decide how a resent request is handled") {
  ReceiptIndex index(1 << 20);
  index.Replay(Record(ReceiptKind::kIntent, "open", 10), 0);
  index.Replay(Record(ReceiptKind::kIntent, "done", 10), 1);
  index.Replay(Record(ReceiptKind::kIntent, "void", 10), 2);
  index.Replay(Record(ReceiptKind::kResult, "done", 10), 3);
  index.Replay(Record(ReceiptKind::kVoid, "void", 10), 4);
  const auto step = [&index](const char* id, uint64_t hash) {
    return NextStep(index.Find(id, Millis(5)), hash);
  };
  CHECK(step("open", 7) == ReceiptStep::kOutcomeUnknown);
  CHECK(step("open", 8) == ReceiptStep::kMismatch);
  CHECK(step("done", 7) == ReceiptStep::kReturnReply);
  CHECK(step("done", 8) == ReceiptStep::kMismatch);
  CHECK(step("void", 7) == ReceiptStep::kRun);
  CHECK(step("new", 7) == ReceiptStep::kRun);
  ReceiptRecord again = Record(ReceiptKind::kIntent, "again", 10);
  again.m_idempotent = true;
  index.Replay(again, 5);
  CHECK(step("again", 7) == ReceiptStep::kRunAgain);
  index.Begin(again);
  CHECK(step("again", 7) == ReceiptStep::kWait);
}

TEST_CASE("receipts expire and replies stay within the memory limit") {
  ReceiptIndex index(100);
  for (int i = 0; i < 50; ++i) {
    index.Finish(Record(ReceiptKind::kResult, std::to_string(i), i), 100 + i);
    CHECK(index.ReplyBytes() <= 100);
  }
  CHECK_FALSE(index.Find("0", Millis(0))->m_in_memory);
  CHECK(index.Find("0", Millis(0))->m_sequence == 100);
  CHECK(index.Find("49", Millis(0))->m_in_memory);
  CHECK(index.Find("9", Millis(10)) == nullptr);
  index.Expire(Millis(40));
  CHECK(index.size() == 10);
  index.Expire(Millis(100));
  CHECK(index.size() == 0);
  CHECK(index.ReplyBytes() == 0);
}

TEST_CASE("a shard's owner has two other data VMs to write to, if possible") {
  std::vector<Member> live(4);
  for (size_t i = 0; i < live.size(); ++i) {
    live[i].m_id = std::to_string(i);
    live[i].m_has_data_dir = i < 2;
  }
  live[3].m_draining = true;
  for (int shard = 0; shard < kReceiptShards; ++shard) {
    CHECK(ChooseShardOwner(shard, live) == "2");
  }
  live[2].m_draining = true;
  for (int shard = 0; shard < kReceiptShards; ++shard) {
    CHECK(ChooseShardOwner(shard, live) < "2");
  }
  CHECK(ReceiptId("ab", "c") != ReceiptId("a", "bc"));
}

}  // namespace bronzecross
