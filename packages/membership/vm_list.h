// The platform's list of VMs, which lags behind the truth.

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
  std::string m_address;  // IP number
  int64_t m_peer_port = 0;
  std::string m_zone;
  bool m_leaving = false;
};

struct VmList {
  std::vector<VmListEntry> m_vms;
  // Names of upstreams that the platform is about to take away.
  std::vector<std::string> m_leaving_upstreams;
};

// Parses {"vms":[{"id","address","peer_port","zone","state"}],
// "upstreams":[{"id","state"}]}. Fails with kMalformedBody; entries are never
// dropped in silence.
Result<VmList> ParseVmList(std::string_view text);

Result<VmList> FetchVmList(HttpClient& client,
                           const std::string& url,
                           Millis timeout);

}  // namespace bronzecross

#endif  // BRONZECROSS_MEMBERSHIP_VM_LIST_H_
