// Finds out whether an upstream crashed at the end of a response, and records
// that for the parts of the request's prompt.

#ifndef BRONZECROSS_GATEWAY_CRASH_CHECK_H_
#define BRONZECROSS_GATEWAY_CRASH_CHECK_H_

#include <cstdint>
#include <vector>

#include "aio/task.h"
#include "dispatch/upstream.h"

namespace bronzecross {

struct Node;

// What the response says of its end.
enum class ResponseEnd {
  kBroken,    // it is incomplete
  kUnframed,  // it ended with its connection, so it may be incomplete
};

// Records a crash of `upstream` if it no longer accepts connections. Otherwise
// an unframed response counts as complete.
Task<> CheckForCrash(Node& node,
                     UpstreamPtr upstream,
                     std::vector<uint32_t> parts,
                     ResponseEnd end);

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_CRASH_CHECK_H_
