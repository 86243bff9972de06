// The availability zones that the operator has evacuated. No request is sent to
// an upstream in one of them.

#ifndef BRONZECROSS_PLACEMENT_EVACUATED_ZONES_H_
#define BRONZECROSS_PLACEMENT_EVACUATED_ZONES_H_

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace bronzecross {

class EvacuatedZones {
 public:
  // Returns whether `zone` wasn't evacuated before.
  bool Begin(std::string_view zone, Millis now);
  // Returns whether `zone` was evacuated.
  bool End(std::string_view zone);
  // Returns the zones that are evacuated but not among `listed`.
  std::vector<std::string> FindUnlisted(
      std::span<const std::string_view> listed) const;

  bool Contains(std::string_view zone) const {
    return m_since.find(zone) != m_since.end();
  }
  // Returns when this VM learned of the evacuation; zero if there is none.
  Millis Since(std::string_view zone) const;
  size_t Count() const { return m_since.size(); }

 private:
  // Never holds the empty zone, which is that of upstreams that state none.
  std::map<std::string, Millis, std::less<>> m_since;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_PLACEMENT_EVACUATED_ZONES_H_
