// Records what the end of a response says about whether the request, or a part
// of its prompt, crashes upstreams.

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

// A run of a request that ended.
struct EndedRun {
  uint32_t m_fingerprint = 0;
  Millis m_started;         // BootNow()
  bool m_is_trial = false;  // of a blocked request
  // The parts of the prompt that may have crashed the upstream, or that
  // completed.
  std::vector<uint32_t> m_parts;
};

void RecordRequestCrash(Node& node,
                        const Upstream& upstream,
                        const EndedRun& run);
void RecordRequestCompletion(Node& node, const EndedRun& run);

// Checks whether `upstream` still accepts connections. If it doesn't, it has
// crashed: records that for the parts, and after an unframed response for the
// request. Otherwise an unframed response counts as complete.
Task<> CheckForCrash(Node& node,
                     UpstreamPtr upstream,
                     EndedRun run,
                     ResponseEnd end);

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_CRASH_CHECK_H_
