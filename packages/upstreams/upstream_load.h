// Load of one upstream, summed over the requests of all VMs.

#ifndef BRONZECROSS_UPSTREAMS_UPSTREAM_LOAD_H_
#define BRONZECROSS_UPSTREAMS_UPSTREAM_LOAD_H_

#include <cstdint>
#include <string>

namespace bronzecross {

struct UpstreamLoad {
  std::string m_name;
  int64_t m_slots = 1;
  // Requests in flight, sent by this VM and by the others.
  int64_t m_own_online = 0;
  int64_t m_own_batch = 0;
  int64_t m_peers_online = 0;
  int64_t m_peers_batch = 0;
  // Estimate of the requests in the upstream's load report that no VM sent.
  double m_unaccounted = 0;
  // Learned service time of one request in ms; zero if none was measured yet.
  double m_service_ms = 0;
  // False while its circuit breaker is open, or it is leaving, blocked or
  // reserved, or has asked for no requests.
  bool m_usable = true;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_UPSTREAMS_UPSTREAM_LOAD_H_
