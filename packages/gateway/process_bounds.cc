#include "gateway/process_bounds.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace bronzecross {
namespace {

constexpr int64_t kBytesPerMb = 1 << 20;

// The rest of the memory is for the tables of the process, for what the
// allocator keeps, and for the buffers of the kernel.
constexpr int64_t kMemoryDivisor = 3;

// Descriptors for the listening ports, the store, and connections to other VMs.
constexpr int64_t kReservedDescriptors = 200;

// A request that is being served may need a second descriptor for its upstream.
constexpr int64_t kCallerDivisor = 2;
constexpr int64_t kPeerDivisor = 4;
constexpr int64_t kProbeDivisor = 8;
constexpr int64_t kMaxProbes = 64;

// A process without a limit gets that of a large machine.
constexpr int64_t kMaxDescriptorLimit = 1 << 20;

}  // namespace

MachineLimits ReadMachineLimits() {
  MachineLimits machine;
  machine.m_memory_bytes =
      static_cast<int64_t>(sysconf(_SC_PHYS_PAGES)) * sysconf(_SC_PAGESIZE);
  rlimit descriptors = {};
  getrlimit(RLIMIT_NOFILE, &descriptors);
  machine.m_descriptors = static_cast<int64_t>(std::min<rlim_t>(
      descriptors.rlim_cur, static_cast<rlim_t>(kMaxDescriptorLimit)));
  return machine;
}

ConnectionBounds MakeConnectionBounds(const GatewaySettings& settings,
                                      const MachineLimits& machine) {
  const int64_t limit = settings.m_max_descriptors > 0
                            ? settings.m_max_descriptors
                            : machine.m_descriptors;
  // A very low limit is divided all the same, so that the VM still serves.
  const int64_t usable =
      std::max({limit - kReservedDescriptors, limit / 4, kProbeDivisor});
  ConnectionBounds bounds;
  bounds.m_callers =
      static_cast<size_t>(settings.m_max_connections > 0
                              ? std::min(settings.m_max_connections, usable)
                              : usable / kCallerDivisor);
  bounds.m_peers = static_cast<size_t>(usable / kPeerDivisor);
  bounds.m_probes =
      static_cast<size_t>(std::min(usable / kProbeDivisor, kMaxProbes));
  return bounds;
}

size_t MakeBudgetBytes(const GatewaySettings& settings,
                       const MachineLimits& machine) {
  if (settings.m_budget_mb > 0) {
    return static_cast<size_t>(settings.m_budget_mb * kBytesPerMb);
  }
  const int64_t memory = settings.m_machine_mb > 0
                             ? settings.m_machine_mb * kBytesPerMb
                             : machine.m_memory_bytes;
  return static_cast<size_t>(memory / kMemoryDivisor);
}

}  // namespace bronzecross
