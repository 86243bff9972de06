// Checks untrusted MessagePack bytes before they are decoded. The decoder
// recurses for each level of nesting, so a short message of nested arrays would
// overflow the stack.

#ifndef BRONZECROSS_BASE_MSGPACK_DEPTH_H_
#define BRONZECROSS_BASE_MSGPACK_DEPTH_H_

#include <cstddef>
#include <string_view>

namespace bronzecross {

// Nesting of the deepest message that the VMs exchange, with some to spare.
inline constexpr size_t kMaxMsgpackDepth = 32;

// Returns whether arrays and maps in `bytes` are nested at most `max_depth`
// deep. Malformed bytes are left to the decoder.
bool HasMsgpackDepthWithin(std::string_view bytes,
                           size_t max_depth = kMaxMsgpackDepth);

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_MSGPACK_DEPTH_H_
