// Derives the bounds on callers from the memory and the descriptors of the
// machine and from the settings.

#ifndef BRONZECROSS_GATEWAY_PROCESS_BOUNDS_H_
#define BRONZECROSS_GATEWAY_PROCESS_BOUNDS_H_

#include <cstddef>
#include <cstdint>

#include "gateway/gateway_settings.h"

namespace bronzecross {

// What the system reports about the machine.
struct MachineLimits {
  int64_t m_memory_bytes = 0;
  int64_t m_descriptors = 0;
};

MachineLimits ReadMachineLimits();

// Maximum number of connections on the listening ports of one VM.
struct ConnectionBounds {
  size_t m_callers = 0;
  size_t m_peers = 0;   // from other VMs
  size_t m_probes = 0;  // for readiness and for metrics, each
};

ConnectionBounds MakeConnectionBounds(const GatewaySettings& settings,
                                      const MachineLimits& machine);

// Returns the number of bytes that the process may hold for connections.
size_t MakeBudgetBytes(const GatewaySettings& settings,
                       const MachineLimits& machine);

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_PROCESS_BOUNDS_H_
