// The load of one upstream as all VMs together see it.

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
  // Requests beyond these in the upstream's own report.
  double m_other = 0;
  // Learned time of one request in ms; zero: nothing learned.
  double m_service_ms = 0;
  // False while it is tripped, leaving, reserved or has asked for quiet.
  bool m_usable = true;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_UPSTREAMS_UPSTREAM_LOAD_H_
