// The data that an upstream registers about itself.

#ifndef BRONZECROSS_FLEET_UPSTREAM_ENTRY_H_
#define BRONZECROSS_FLEET_UPSTREAM_ENTRY_H_

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/net_address.h"

namespace bronzecross {

struct UpstreamEntry {
  std::string m_id;
  std::string m_service;
  NetAddress m_address;
  std::string m_zone;
  int m_slots = 1;
  bool m_draining = false;
  Millis m_cold_left;  // for how long it is cold; zero: it is warm
  // Unix time of the process's start. A restarted upstream keeps its id
  // but has no state of the requests that ran before.
  Millis m_started;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_FLEET_UPSTREAM_ENTRY_H_
