#include "online/authenticator.h"

#include <absl/strings/match.h>

#include "base/hash.h"

namespace bronzecross {
namespace {

constexpr absl::string_view kBearer = "Bearer ";

}  // namespace

Result<Caller> Authenticate(const HttpRequest& request,
                            const ConfigSnapshot& config) {
  const std::string_view header =
      FindHeader(request.m_headers, "Authorization");
  if (!absl::StartsWithIgnoreCase(
          absl::string_view(header.data(), header.size()), kBearer)) {
    return Fail(ResultCode::kMissingKey,
                "send a key as \"Authorization: Bearer KEY\"");
  }
  Caller caller;
  caller.m_key_sha256 = Sha256Hex(header.substr(kBearer.size()));
  const KeySpec* key = config.FindKey(caller.m_key_sha256);
  if (key == nullptr || key->m_withdrawn) {
    return Fail(ResultCode::kInvalidKey, "the key is not valid");
  }
  caller.m_workspace = key->m_workspace;
  return caller;
}

bool IsKeyValid(const Caller& caller, const ConfigSnapshot& config) {
  const KeySpec* key = config.FindKey(caller.m_key_sha256);
  return key != nullptr && !key->m_withdrawn &&
         key->m_workspace == caller.m_workspace;
}

}  // namespace bronzecross
