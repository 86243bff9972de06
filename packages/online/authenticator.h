// Finds the workspace whose key came with a request.

#ifndef BRONZECROSS_ONLINE_AUTHENTICATOR_H_
#define BRONZECROSS_ONLINE_AUTHENTICATOR_H_

#include <string>

#include "base/error.h"
#include "config/config_snapshot.h"
#include "http/http_message.h"

namespace bronzecross {

struct Caller {
  std::string m_workspace;
  std::string m_key_sha256;
};

// Reads the bearer key of `request`. Fails with kMissingKey or, for unknown and
// withdrawn keys alike, kInvalidKey (not run).
Result<Caller> Authenticate(const HttpRequest& request,
                            const ConfigSnapshot& config);

// Whether the key still is given and belongs to the same workspace.
bool IsKeyInForce(const Caller& caller, const ConfigSnapshot& config);

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_AUTHENTICATOR_H_
