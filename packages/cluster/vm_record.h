// The record with which a VM registers in the key-value service, under a lease.

#ifndef BRONZECROSS_CLUSTER_VM_RECORD_H_
#define BRONZECROSS_CLUSTER_VM_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/net_address.h"

namespace bronzecross {

inline constexpr std::string_view kVmPrefix = "bx/vm/";

struct VmRecord {
  std::string m_id;
  uint64_t m_incarnation = 0;  // differs at each start of the process
  std::string m_zone;
  NetAddress m_address;  // of its peer listener, TCP and UDP
};

std::string VmKey(std::string_view id);
std::string EncodeVmRecord(const VmRecord& record);
// Returns std::nullopt if `value` is not a valid record.
std::optional<VmRecord> DecodeVmRecord(std::string_view value);

}  // namespace bronzecross

#endif  // BRONZECROSS_CLUSTER_VM_RECORD_H_
