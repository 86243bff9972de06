// Authenticates requests by their API key.

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

// Returns the caller that the bearer key of `request` belongs to. Fails with
// kMissingKey, or with kInvalidKey for unknown and withdrawn keys (not run).
Result<Caller> Authenticate(const HttpRequest& request,
                            const ConfigSnapshot& config);

// Returns whether the key exists, is not withdrawn and belongs to the same
// workspace.
bool IsKeyValid(const Caller& caller, const ConfigSnapshot& config);

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_AUTHENTICATOR_H_
