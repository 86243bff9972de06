// Routes callers' requests to the online or the batch service.

#ifndef BRONZECROSS_PROGRAMS_BRONZECROSS_REQUEST_ROUTER_H_
#define BRONZECROSS_PROGRAMS_BRONZECROSS_REQUEST_ROUTER_H_

#include "batch/batch_service.h"
#include "config/settings.h"
#include "http/http_server.h"
#include "online/online_service.h"

namespace bronzecross {

// Returns the handlers of the callers' port. The services must outlive them.
HttpHandlers MakeCallerHandlers(const Settings& settings,
                                OnlineService& online,
                                BatchService& batch);

}  // namespace bronzecross

#endif  // BRONZECROSS_PROGRAMS_BRONZECROSS_REQUEST_ROUTER_H_
