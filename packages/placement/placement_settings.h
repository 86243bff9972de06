// Settings of a deployment for the placement of requests.

#ifndef BRONZECROSS_PLACEMENT_PLACEMENT_SETTINGS_H_
#define BRONZECROSS_PLACEMENT_PLACEMENT_SETTINGS_H_

namespace bronzecross {

struct PlacementSettings {
  // All VMs together may send `m_cold_over` times the rate of the service plus
  // `m_cold_slack` requests within a second to one cold upstream.
  double m_cold_over = 1.5;
  double m_cold_slack = 5;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_PLACEMENT_PLACEMENT_SETTINGS_H_
