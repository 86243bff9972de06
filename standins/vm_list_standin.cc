#include "standins/vm_list_standin.h"

#include <nlohmann/json.hpp>

#include "http/http_error_reply.h"

namespace bronzecross {

using nlohmann::json;

VmListStandin::VmListStandin()
    : m_server([this](HttpRequest& request) { return Handle(request); }) {
  m_server.Start();
}

VmListStandin::~VmListStandin() {
  m_server.Stop();
}

void VmListStandin::Set(const VmListEntry& entry) {
  absl::MutexLock lock(&m_mutex);
  m_entries[entry.m_id] = entry;
}

void VmListStandin::Remove(const std::string& id) {
  absl::MutexLock lock(&m_mutex);
  m_entries.erase(id);
}

void VmListStandin::ShowPort(const std::string& viewer,
                             const std::string& id,
                             int64_t port) {
  absl::MutexLock lock(&m_mutex);
  m_ports[{viewer, id}] = port;
}

void VmListStandin::SetLeavingUpstream(const std::string& name, bool leaving) {
  absl::MutexLock lock(&m_mutex);
  m_leaving_upstreams[name] = leaving;
}

HttpReply VmListStandin::Handle(HttpRequest& request) {
  const std::string viewer = request.m_query["viewer"];
  json vms = json::array();
  json upstreams = json::array();
  absl::MutexLock lock(&m_mutex);
  for (const auto& [id, entry] : m_entries) {
    const auto port = m_ports.find({viewer, id});
    vms.push_back({{"id", id},
                   {"address", entry.m_address},
                   {"peer_port",
                    port != m_ports.end() ? port->second : entry.m_peer_port},
                   {"zone", entry.m_zone},
                   {"state", entry.m_leaving ? "leaving" : "live"}});
  }
  for (const auto& [name, leaving] : m_leaving_upstreams) {
    upstreams.push_back(
        {{"id", name}, {"state", leaving ? "leaving" : "live"}});
  }
  return JsonReply(200, json{{"vms", vms}, {"upstreams", upstreams}}.dump());
}

}  // namespace bronzecross
