// Settings of a deployment for the placement of requests.

#ifndef BRONZECROSS_PLACEMENT_PLACEMENT_SETTINGS_H_
#define BRONZECROSS_PLACEMENT_PLACEMENT_SETTINGS_H_

#include <functional>
#include <map>
#include <string>

#include "base/clock.h"

namespace bronzecross {

struct PlacementSettings {
  std::string m_region;  // of this VM
  // The region of each availability zone.
  std::map<std::string, std::string, std::less<>> m_zone_regions;
  // All VMs together may send `m_cold_over` times the rate of the service plus
  // `m_cold_slack` requests within a second to one cold upstream.
  double m_cold_over = 1.5;
  double m_cold_slack = 5;
  // Time within which an evacuation must be in force. Zero: evacuations are
  // obeyed as soon as they are known.
  Millis m_evacuation_bound;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_PLACEMENT_PLACEMENT_SETTINGS_H_
