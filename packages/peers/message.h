// Encodes and decodes messages between VMs: JSON values as MessagePack.

#ifndef BRONZECROSS_PEERS_MESSAGE_H_
#define BRONZECROSS_PEERS_MESSAGE_H_

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "base/error.h"

namespace bronzecross {

std::string EncodeMessage(const nlohmann::json& message);

// Fails with kMalformedBody if `bytes` is not valid MessagePack.
Result<nlohmann::json> DecodeMessage(std::string_view bytes);

}  // namespace bronzecross

#endif  // BRONZECROSS_PEERS_MESSAGE_H_
