#include "gateway/token_calls.h"

#include <algorithm>

#include "base/text.h"
#include "gateway/peer_calls.h"

namespace bronzecross {
namespace {

// At a VM that shares its tokens through gossip, a request waits for a rate
// token for at most its latency target divided by this. A rejection within that
// time leaves the caller time for one retry.
constexpr int64_t kTokenWaitDivisor = 5;

// At a quota owner, it waits for up to this part of its latency target, so that
// the rest is left for the response to begin.
constexpr int64_t kOwnerWaitDivisor = 2;

// A refusal within this part of the latency target counts as prompt.
constexpr int64_t kPromptRefusalDivisor = 4;

// Tokens are sent in thousandths.
constexpr double kTokenUnits = 1'000;

Millis Remaining(Millis duration, Millis passed) {
  return std::max(duration - passed, Millis());
}

}  // namespace

TokenRequest MakeTokenRequest(const IncomingRequest& request, Millis now) {
  const Millis target = request.m_route->m_latency_target;
  const Millis passed = now - request.m_arrived;
  TokenRequest token;
  token.m_request_id = request.m_fields.m_request_id;
  token.m_priority =
      request.m_workspace != nullptr && request.m_workspace->m_priority >= 0
          ? request.m_workspace->m_priority
          : request.m_route->m_priority;
  token.m_wait_budget = target / kTokenWaitDivisor;
  token.m_max_wait = Remaining(target / kOwnerWaitDivisor, passed);
  token.m_prompt_refusal = Remaining(target / kPromptRefusalDivisor, passed);
  if (request.m_fields.m_wait_budget) {
    token.m_time_left = Remaining(*request.m_fields.m_wait_budget, passed);
  }
  return token;
}

void EncodeTokenRequest(const TokenRequest& request, MessageHead& head) {
  head.Add(kPeerRequestField, request.m_request_id);
  head.Add(kPeerWaitBudgetField, Concat(request.m_wait_budget.count()));
  head.Add(kPeerPriorityField, Concat(request.m_priority));
  head.Add(kPeerMaxWaitField, Concat(request.m_max_wait.count()));
  head.Add(kPeerPromptRefusalField, Concat(request.m_prompt_refusal.count()));
  if (request.m_time_left) {
    head.Add(kPeerTimeLeftField, Concat(request.m_time_left->count()));
  }
  if (request.m_is_passed_on) {
    head.Add(kPeerPassedOnField, "1");
  }
}

std::optional<TokenRequest> DecodeTokenRequest(const MessageHead& head) {
  const std::optional<int64_t> wait_budget =
      ParseDecimal(head.Find(kPeerWaitBudgetField));
  if (!wait_budget) {
    return std::nullopt;
  }
  TokenRequest request;
  request.m_request_id = std::string(head.Find(kPeerRequestField));
  request.m_wait_budget = Millis(*wait_budget);
  request.m_priority =
      static_cast<int>(ParseDecimal(head.Find(kPeerPriorityField)).value_or(0));
  request.m_max_wait =
      Millis(ParseDecimal(head.Find(kPeerMaxWaitField)).value_or(*wait_budget));
  request.m_prompt_refusal = Millis(
      ParseDecimal(head.Find(kPeerPromptRefusalField)).value_or(*wait_budget));
  const std::optional<int64_t> time_left =
      ParseDecimal(head.Find(kPeerTimeLeftField));
  if (time_left) {
    request.m_time_left = Millis(*time_left);
  }
  request.m_is_passed_on = !head.Find(kPeerPassedOnField).empty();
  return request;
}

void EncodeTokenHandover(const TokenHandover& handover, MessageHead& head) {
  head.Add(kPeerWorkspaceField, handover.m_workspace);
  head.Add(kPeerShardField, Concat(handover.m_shard));
  head.Add(kPeerTokensField,
           Concat(static_cast<int64_t>(handover.m_tokens * kTokenUnits)));
  head.Add(kPeerFromField, handover.m_from);
  head.Add(kPeerIncarnationField, Concat(handover.m_from_incarnation));
  if (handover.m_is_stopping) {
    head.Add(kPeerStoppingField, "1");
  }
}

std::optional<TokenHandover> DecodeTokenHandover(const MessageHead& head) {
  const std::optional<int64_t> shard = ParseDecimal(head.Find(kPeerShardField));
  const std::optional<int64_t> tokens =
      ParseDecimal(head.Find(kPeerTokensField));
  const std::optional<int64_t> incarnation =
      ParseDecimal(head.Find(kPeerIncarnationField));
  if (!shard || !tokens || !incarnation) {
    return std::nullopt;
  }
  TokenHandover handover;
  handover.m_workspace = std::string(head.Find(kPeerWorkspaceField));
  handover.m_shard = static_cast<int>(*shard);
  handover.m_tokens = static_cast<double>(*tokens) / kTokenUnits;
  handover.m_from = std::string(head.Find(kPeerFromField));
  handover.m_from_incarnation = static_cast<uint64_t>(*incarnation);
  handover.m_is_stopping = !head.Find(kPeerStoppingField).empty();
  return handover;
}

}  // namespace bronzecross
