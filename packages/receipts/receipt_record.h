// Records of a receipt shard's ledger and their encoding.

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
  kIntent = 0,  // written before the request is sent to an upstream
  kResult = 1,  // the reply to the request
  kVoid = 2,    // cancels the intent: the request did not run or may run again
};

struct ReceiptRecord {
  ReceiptKind m_kind = ReceiptKind::kIntent;
  std::string m_id;
  // Hash of the method, path and body.
  uint64_t m_request_hash = 0;
  bool m_idempotent = false;
  // Wall clock time at which the intent was created.
  Millis m_created_at;
  // Only in results; m_reader is not set.
  HttpReply m_reply;
};

std::string EncodeReceipt(const ReceiptRecord& record);

// Fails with kCorrupt.
Result<ReceiptRecord> DecodeReceipt(std::string_view bytes);

// Convert status, headers and body for peer messages and records. ReplyFromJson
// throws nlohmann::json::exception if `json` is malformed.
nlohmann::json ReplyToJson(const HttpReply& reply);
HttpReply ReplyFromJson(const nlohmann::json& json);

}  // namespace bronzecross

#endif  // BRONZECROSS_RECEIPTS_RECEIPT_RECORD_H_
