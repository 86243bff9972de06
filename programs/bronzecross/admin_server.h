// The admin port: health, readiness and metrics.

#ifndef BRONZECROSS_PROGRAMS_BRONZECROSS_ADMIN_SERVER_H_
#define BRONZECROSS_PROGRAMS_BRONZECROSS_ADMIN_SERVER_H_

#include <functional>

#include <nlohmann/json.hpp>

#include "http/http_server.h"

namespace bronzecross {

// What the admin port tells.
struct AdminSources {
  std::function<bool()> m_is_ready;
  std::function<nlohmann::json()> m_status;
};

// Serves GET /healthz, /readyz, /metrics and /status.
HttpHandlers MakeAdminHandlers(AdminSources sources);

}  // namespace bronzecross

#endif  // BRONZECROSS_PROGRAMS_BRONZECROSS_ADMIN_SERVER_H_
