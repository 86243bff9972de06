// Fault proxies between the VMs of a cluster and its upstreams.

#ifndef BRONZECROSS_TESTS_HARNESS_UPSTREAM_PROXIES_H_
#define BRONZECROSS_TESTS_HARNESS_UPSTREAM_PROXIES_H_

#include <map>
#include <memory>
#include <string>

#include "harness/cluster.h"

namespace bronzecross {

// One proxy for each upstream of the manifest. Must outlive the cluster's use
// of the upstreams.
class UpstreamProxies {
 public:
  // Publishes the proxies' addresses and waits until all VMs use them.
  explicit UpstreamProxies(Cluster& cluster);

  // By the upstream's name, for example "engine-0".
  FaultProxy& Of(const std::string& upstream) {
    return *m_proxies.at(upstream);
  }
  void SetAll(const ProxyFaults& faults);

 private:
  std::map<std::string, std::unique_ptr<FaultProxy>> m_proxies;
};

// Publishes the manifest and waits until all running VMs have it. Returns false
// after 10 s.
bool PublishEverywhere(Cluster& cluster);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_HARNESS_UPSTREAM_PROXIES_H_
