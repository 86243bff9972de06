#include "harness/upstream_proxies.h"

#include <cstdio>
#include <cstdlib>

namespace bronzecross {

UpstreamProxies::UpstreamProxies(Cluster& cluster) {
  for (UpstreamSpec& spec : cluster.GetManifest().m_upstreams) {
    const Result<NetAddress> address =
        ParseNetAddress(spec.m_url.substr(std::string("http://").size()));
    std::unique_ptr<FaultProxy>& proxy = m_proxies[spec.m_name];
    proxy = std::make_unique<FaultProxy>(*address);
    spec.m_url = proxy->Url();
  }
  if (!PublishEverywhere(cluster)) {
    std::fprintf(stderr, "the VMs do not take the proxies' addresses\n");
    std::abort();
  }
}

void UpstreamProxies::SetAll(const ProxyFaults& faults) {
  for (const auto& [name, proxy] : m_proxies) {
    proxy->SetFaults(faults);
  }
}

bool PublishEverywhere(Cluster& cluster) {
  const int64_t generation = cluster.Publish();
  return WaitFor([&] {
    for (int vm = 0; vm < cluster.VmCount(); ++vm) {
      if (!cluster.Vm(vm).IsRunning()) {
        continue;
      }
      const nlohmann::json status = cluster.Status(vm);
      if (!status.is_object() || status.value("generation", 0) != generation) {
        return false;
      }
    }
    return true;
  });
}

}  // namespace bronzecross
