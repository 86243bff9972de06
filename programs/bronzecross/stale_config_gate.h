// Rejects requests that need an API key while this VM cannot confirm that its
// manifest is current.

#ifndef BRONZECROSS_PROGRAMS_BRONZECROSS_STALE_CONFIG_GATE_H_
#define BRONZECROSS_PROGRAMS_BRONZECROSS_STALE_CONFIG_GATE_H_

#include <functional>

#include "config/config_holder.h"
#include "http/http_server.h"

namespace bronzecross {

// Wraps `handlers`: while `is_fresh` returns false, every request except those
// on open routes gets a kStaleConfig reply and is not run. `config` must
// outlive the returned handlers.
HttpHandlers GateStaleConfig(HttpHandlers handlers,
                             const ConfigHolder& config,
                             std::function<bool()> is_fresh);

}  // namespace bronzecross

#endif  // BRONZECROSS_PROGRAMS_BRONZECROSS_STALE_CONFIG_GATE_H_
