// How a VM that watches the store tells another one of changes, in MessagePack.

#ifndef BRONZECROSS_GATEWAY_CHANGES_MESSAGE_H_
#define BRONZECROSS_GATEWAY_CHANGES_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>

#include "kv/change_log.h"

namespace bronzecross {

std::string EncodeChanges(const KvChanges& changes);
// Nothing if `bytes` is no such message.
std::optional<KvChanges> DecodeChanges(std::string_view bytes);

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_CHANGES_MESSAGE_H_
