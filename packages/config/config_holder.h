// Holds the manifest in force on this VM. A generation never gives way to an
// older one.

#ifndef BRONZECROSS_CONFIG_CONFIG_HOLDER_H_
#define BRONZECROSS_CONFIG_CONFIG_HOLDER_H_

#include <memory>

#include <absl/synchronization/mutex.h>

#include "config/config_snapshot.h"

namespace bronzecross {

class ConfigHolder {
 public:
  ConfigHolder();

  // Never null; generation zero until a manifest is installed. Thread-safe.
  std::shared_ptr<const ConfigSnapshot> Get() const;

  // Installs `manifest` if its generation is higher than the one in force.
  // Returns whether it did. Thread-safe.
  bool Install(Manifest manifest);

 private:
  mutable absl::Mutex m_mutex;
  std::shared_ptr<const ConfigSnapshot> m_snapshot ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_CONFIG_CONFIG_HOLDER_H_
