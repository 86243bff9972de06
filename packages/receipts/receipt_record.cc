#include "receipts/receipt_record.h"

#include <nlohmann/json.hpp>

#include "peers/message.h"

namespace bronzecross {

using nlohmann::json;

json ReplyToJson(const HttpReply& reply) {
  json headers = json::array();
  for (const HttpHeader& header : reply.m_headers) {
    headers.push_back({header.m_name, header.m_value});
  }
  return {{"status", reply.m_status},
          {"headers", std::move(headers)},
          {"body", reply.m_body}};
}

HttpReply ReplyFromJson(const json& json) {
  HttpReply reply;
  json.at("status").get_to(reply.m_status);
  json.at("body").get_to(reply.m_body);
  for (const nlohmann::json& header : json.at("headers")) {
    reply.m_headers.push_back({header.at(0), header.at(1)});
  }
  return reply;
}

std::string EncodeReceipt(const ReceiptRecord& record) {
  json message = {{"kind", static_cast<int>(record.m_kind)},
                  {"id", record.m_id},
                  {"hash", record.m_request_hash},
                  {"idempotent", record.m_idempotent},
                  {"at", record.m_created_at.count()}};
  if (record.m_kind == ReceiptKind::kResult) {
    message["reply"] = ReplyToJson(record.m_reply);
  }
  return EncodeMessage(message);
}

Result<ReceiptRecord> DecodeReceipt(std::string_view bytes) {
  const Result<json> message = DecodeMessage(bytes);
  if (!message) {
    return Fail(ResultCode::kCorrupt, "a receipt is damaged");
  }
  try {
    ReceiptRecord record;
    record.m_kind = static_cast<ReceiptKind>(message->at("kind").get<int>());
    message->at("id").get_to(record.m_id);
    message->at("hash").get_to(record.m_request_hash);
    message->at("idempotent").get_to(record.m_idempotent);
    record.m_created_at = Millis(message->at("at").get<int64_t>());
    if (record.m_kind == ReceiptKind::kResult) {
      record.m_reply = ReplyFromJson(message->at("reply"));
    }
    return record;
  } catch (const json::exception&) {
    return Fail(ResultCode::kCorrupt, "a receipt is damaged");
  }
}

}  // namespace bronzecross
