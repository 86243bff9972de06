// Encodes store changes in MessagePack, for a VM that watches the store to
// report them to VMs that don't.

#ifndef BRONZECROSS_GATEWAY_CHANGES_MESSAGE_H_
#define BRONZECROSS_GATEWAY_CHANGES_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>

#include "kv/change_log.h"

namespace bronzecross {

std::string EncodeChanges(const KvChanges& changes);
// Returns std::nullopt if `bytes` isn't a valid message.
std::optional<KvChanges> DecodeChanges(std::string_view bytes);

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_CHANGES_MESSAGE_H_
