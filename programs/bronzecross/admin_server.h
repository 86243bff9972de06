// HTTP handlers of the admin port: health, readiness, metrics and status.

#ifndef BRONZECROSS_PROGRAMS_BRONZECROSS_ADMIN_SERVER_H_
#define BRONZECROSS_PROGRAMS_BRONZECROSS_ADMIN_SERVER_H_

#include <functional>

#include <nlohmann/json.hpp>

#include "http/http_server.h"

namespace bronzecross {

// Callbacks that supply the state served on the admin port.
struct AdminSources {
  std::function<bool()> m_is_ready;
  std::function<nlohmann::json()> m_status;
};

// Serves GET /healthz, /readyz, /metrics and /status.
HttpHandlers MakeAdminHandlers(AdminSources sources);

}  // namespace bronzecross

#endif  // BRONZECROSS_PROGRAMS_BRONZECROSS_ADMIN_SERVER_H_
