// Stand-in for the platform's list of VMs, which lags. Each viewer can be shown
// other addresses, so that a proxy can stand between two VMs.

#ifndef BRONZECROSS_STANDINS_VM_LIST_STANDIN_H_
#define BRONZECROSS_STANDINS_VM_LIST_STANDIN_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "membership/vm_list.h"
#include "standins/standin_server.h"

namespace bronzecross {

class VmListStandin {
 public:
  VmListStandin();
  ~VmListStandin();

  // The URL that the VM `viewer` polls.
  std::string UrlFor(const std::string& viewer) const {
    return m_server.Url() + "/vms?viewer=" + viewer;
  }

  void Set(const VmListEntry& entry);
  void Remove(const std::string& id);
  // Shows `viewer` the port `port` for the VM `id`.
  void ShowPort(const std::string& viewer, const std::string& id, int64_t port);
  void SetLeavingUpstream(const std::string& name, bool leaving);

 private:
  HttpReply Handle(HttpRequest& request);

  absl::Mutex m_mutex;
  std::map<std::string, VmListEntry> m_entries ABSL_GUARDED_BY(m_mutex);
  std::map<std::pair<std::string, std::string>, int64_t> m_ports
      ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, bool> m_leaving_upstreams ABSL_GUARDED_BY(m_mutex);
  StandinServer m_server;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_STANDINS_VM_LIST_STANDIN_H_
