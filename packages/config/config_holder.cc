#include "config/config_holder.h"

#include "base/log.h"

namespace bronzecross {

ConfigHolder::ConfigHolder()
    : m_snapshot(std::make_shared<const ConfigSnapshot>(Manifest{})) {}

std::shared_ptr<const ConfigSnapshot> ConfigHolder::Get() const {
  absl::MutexLock lock(&m_mutex);
  return m_snapshot;
}

bool ConfigHolder::Install(Manifest manifest) {
  const int64_t generation = manifest.m_generation;
  const std::shared_ptr<const ConfigSnapshot> snapshot =
      std::make_shared<const ConfigSnapshot>(std::move(manifest));
  {
    absl::MutexLock lock(&m_mutex);
    if (generation <= m_snapshot->Generation()) {
      return false;
    }
    m_snapshot = snapshot;
  }
  Log(Severity::kInfo, LogPart::kConfig, "Installed a manifest.",
      {{"generation", generation}});
  return true;
}

}  // namespace bronzecross
