// Refuses keyed requests while this VM cannot confirm its manifest.

#ifndef BRONZECROSS_PROGRAMS_BRONZECROSS_FRESH_GATE_H_
#define BRONZECROSS_PROGRAMS_BRONZECROSS_FRESH_GATE_H_

#include <functional>

#include "config/config_holder.h"
#include "http/http_server.h"

namespace bronzecross {

// `handlers` with all requests but those on open routes answered by
// kStaleConfig (not run) while `is_fresh` is false. `config` must outlive the
// handlers.
HttpHandlers GateStaleConfig(HttpHandlers handlers,
                             const ConfigHolder& config,
                             std::function<bool()> is_fresh);

}  // namespace bronzecross

#endif  // BRONZECROSS_PROGRAMS_BRONZECROSS_FRESH_GATE_H_
