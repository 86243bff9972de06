#include "receipts/receipt_index.h"

namespace bronzecross {

ReceiptStep NextStep(const Receipt* receipt, uint64_t request_hash) {
  if (receipt == nullptr) {
    return ReceiptStep::kRun;
  }
  if (receipt->m_request_hash != request_hash) {
    return ReceiptStep::kMismatch;
  }
  switch (receipt->m_state) {
    case ReceiptState::kRunning:
      return ReceiptStep::kWait;
    case ReceiptState::kDone:
      return ReceiptStep::kReturnReply;
    case ReceiptState::kOrphan:
      break;
  }
  return receipt->m_idempotent ? ReceiptStep::kRunAgain
                               : ReceiptStep::kOutcomeUnknown;
}

void ReceiptIndex::Replay(const ReceiptRecord& record, uint64_t sequence) {
  switch (record.m_kind) {
    case ReceiptKind::kIntent:
      Begin(record).m_state = ReceiptState::kOrphan;
      break;
    case ReceiptKind::kResult:
      Finish(record, sequence);
      break;
    case ReceiptKind::kVoid:
      Erase(record.m_id);
      break;
  }
}

const Receipt* ReceiptIndex::Find(std::string_view id, Millis oldest) const {
  const auto found = m_receipts.find(id);
  const bool expired = found != m_receipts.end() &&
                       found->second.m_created_at < oldest &&
                       found->second.m_state != ReceiptState::kRunning;
  return found == m_receipts.end() || expired ? nullptr : &found->second;
}

Receipt& ReceiptIndex::Begin(const ReceiptRecord& intent) {
  Erase(intent.m_id);
  Receipt& receipt = m_receipts[intent.m_id];
  receipt.m_request_hash = intent.m_request_hash;
  receipt.m_idempotent = intent.m_idempotent;
  receipt.m_created_at = intent.m_created_at;
  return receipt;
}

void ReceiptIndex::Finish(const ReceiptRecord& result, uint64_t sequence) {
  Receipt& receipt = Begin(result);
  receipt.m_state = ReceiptState::kDone;
  receipt.m_sequence = sequence;
  receipt.m_in_memory = true;
  receipt.m_reply = result.m_reply;
  m_reply_bytes += static_cast<int64_t>(receipt.m_reply.m_body.size());
  m_replies.push_back(result.m_id);
  while (m_reply_bytes > m_max_reply_bytes && !m_replies.empty()) {
    const auto oldest = m_receipts.find(m_replies.front());
    if (oldest != m_receipts.end()) {
      DropReply(oldest->second);
    }
    m_replies.pop_front();
  }
}

void ReceiptIndex::DropReply(Receipt& receipt) {
  if (receipt.m_in_memory) {
    m_reply_bytes -= static_cast<int64_t>(receipt.m_reply.m_body.size());
    receipt.m_in_memory = false;
    receipt.m_reply = HttpReply();
  }
}

void ReceiptIndex::Erase(std::string_view id) {
  const auto found = m_receipts.find(id);
  if (found != m_receipts.end()) {
    DropReply(found->second);
    m_receipts.erase(found);
  }
}

void ReceiptIndex::Expire(Millis oldest) {
  for (auto it = m_receipts.begin(); it != m_receipts.end();) {
    if (it->second.m_created_at < oldest &&
        it->second.m_state != ReceiptState::kRunning) {
      DropReply(it->second);
      it = m_receipts.erase(it);
    } else {
      ++it;
    }
  }
  while (!m_replies.empty() && !m_receipts.contains(m_replies.front())) {
    m_replies.pop_front();
  }
}

}  // namespace bronzecross
