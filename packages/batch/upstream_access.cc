#include "batch/upstream_access.h"

namespace bronzecross {

UpstreamAccess MakeUpstreamAccess(UpstreamRegistry&) {
  UpstreamAccess access;
  access.m_load = [](const UpstreamSpec& spec) {
    BatchLoad load;
    load.m_usable = spec.m_state == UpstreamState::kActive;
    return load;
  };
  access.m_pick = [](const UpstreamSpec& spec,
                     std::string_view) -> Result<PickedUpstream> {
    PickedUpstream picked;
    picked.m_name = spec.m_name;
    picked.m_url = spec.m_url;
    return picked;
  };
  return access;
}

}  // namespace bronzecross
