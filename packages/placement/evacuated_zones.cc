#include "placement/evacuated_zones.h"

#include <algorithm>

namespace bronzecross {

bool EvacuatedZones::Begin(std::string_view zone, Millis now) {
  return !zone.empty() && m_since.emplace(std::string(zone), now).second;
}

bool EvacuatedZones::End(std::string_view zone) {
  const auto found = m_since.find(zone);
  if (found == m_since.end()) {
    return false;
  }
  m_since.erase(found);
  return true;
}

std::vector<std::string> EvacuatedZones::FindUnlisted(
    std::span<const std::string_view> listed) const {
  std::vector<std::string> unlisted;
  for (auto entry = m_since.begin(); entry != m_since.end(); ++entry) {
    if (std::find(listed.begin(), listed.end(), entry->first) == listed.end()) {
      unlisted.push_back(entry->first);
    }
  }
  return unlisted;
}

Millis EvacuatedZones::Since(std::string_view zone) const {
  const auto found = m_since.find(zone);
  return found == m_since.end() ? Millis() : found->second;
}

}  // namespace bronzecross
