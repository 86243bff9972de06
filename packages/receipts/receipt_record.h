// The records in a receipt shard's ledger.

#ifndef BRONZECROSS_RECEIPTS_RECEIPT_RECORD_H_
#define BRONZECROSS_RECEIPTS_RECEIPT_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "base/error.h"
#include "http/http_message.h"

namespace bronzecross {

enum class ReceiptKind {
  kIntent = 0,  // the request is about to be sent
  kResult = 1,  // it was answered
  kVoid = 2,    // it did not run, or may run again: the intent counts no more
};

struct ReceiptRecord {
  ReceiptKind m_kind = ReceiptKind::kIntent;
  std::string m_id;
  // Of the method, path and body.
  uint64_t m_request_hash = 0;
  bool m_idempotent = false;
  // When the intent was written, on the wall clock.
  Millis m_at;
  // Results only; m_reader is not set.
  HttpReply m_reply;
};

std::string EncodeReceipt(const ReceiptRecord& record);

// Fails with kCorrupt.
Result<ReceiptRecord> DecodeReceipt(std::string_view bytes);

// Status, headers and body, as a message's parts. FromJson throws
// nlohmann::json::exception.
nlohmann::json ReplyToJson(const HttpReply& reply);
HttpReply ReplyFromJson(const nlohmann::json& json);

}  // namespace bronzecross

#endif  // BRONZECROSS_RECEIPTS_RECEIPT_RECORD_H_
