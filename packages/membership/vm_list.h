// The platform's list of VMs, which may be out of date.

#ifndef BRONZECROSS_MEMBERSHIP_VM_LIST_H_
#define BRONZECROSS_MEMBERSHIP_VM_LIST_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "http/http_client.h"

namespace bronzecross {

struct VmListEntry {
  std::string m_id;
  std::string m_address;  // IP address
  int64_t m_peer_port = 0;
  std::string m_zone;
  bool m_leaving = false;
};

struct VmList {
  std::vector<VmListEntry> m_vms;
  // Names of upstreams that the platform is about to remove.
  std::vector<std::string> m_leaving_upstreams;
};

// Parses {"vms":[{"id","address","peer_port","zone","state"}],
// "upstreams":[{"id","state"}]}. Fails with kMalformedBody if the entry of any
// VM is invalid: limits depend on their number. Invalid entries of upstreams
// are skipped.
Result<VmList> ParseVmList(std::string_view text);

Result<VmList> FetchVmList(HttpClient& client,
                           const std::string& url,
                           Millis timeout);

}  // namespace bronzecross

#endif  // BRONZECROSS_MEMBERSHIP_VM_LIST_H_
