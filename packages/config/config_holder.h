// Holds the manifest in effect on this VM. It is never replaced by an older
// generation.

#ifndef BRONZECROSS_CONFIG_CONFIG_HOLDER_H_
#define BRONZECROSS_CONFIG_CONFIG_HOLDER_H_

#include <memory>

#include <absl/synchronization/mutex.h>

#include "config/config_snapshot.h"

namespace bronzecross {

class ConfigHolder {
 public:
  ConfigHolder();

  // Never returns null; the generation is zero until a manifest is installed.
  // Thread-safe.
  std::shared_ptr<const ConfigSnapshot> Get() const;

  // Installs `manifest` if its generation is higher than the current one.
  // Returns whether it was installed. Thread-safe.
  bool Install(Manifest manifest);

 private:
  mutable absl::Mutex m_mutex;
  std::shared_ptr<const ConfigSnapshot> m_snapshot ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_CONFIG_CONFIG_HOLDER_H_
