// Requests for rate tokens as calls between VMs.

#ifndef BRONZECROSS_GATEWAY_TOKEN_CALLS_H_
#define BRONZECROSS_GATEWAY_TOKEN_CALLS_H_

#include <optional>

#include "gateway/incoming_request.h"
#include "http1/message_head.h"
#include "quota/token_handover.h"
#include "quota/token_request.h"

namespace bronzecross {

// Returns the request for a rate token for a caller's request. The route and
// the workspace must be set.
TokenRequest MakeTokenRequest(const IncomingRequest& request, Millis now);

// Adds the header fields of a call to a quota owner.
void EncodeTokenRequest(const TokenRequest& request, MessageHead& head);

// Returns std::nullopt if the wait budget is missing. VMs of earlier versions
// send nothing else than that and the request id.
std::optional<TokenRequest> DecodeTokenRequest(const MessageHead& head);

// Add tokens on their way to a new owner to the head of a peer call, and read
// them there.
void EncodeTokenHandover(const TokenHandover& handover, MessageHead& head);
std::optional<TokenHandover> DecodeTokenHandover(const MessageHead& head);

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_TOKEN_CALLS_H_
