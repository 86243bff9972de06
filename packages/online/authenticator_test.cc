#include "online/authenticator.h"

#include <doctest/doctest.h>

namespace bronzecross {
namespace {

// SHA-256 of "abc".
constexpr std::string_view kHash =
    "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

Manifest MakeManifest(bool withdrawn) {
  Manifest manifest;
  manifest.m_workspaces.push_back({"tours", 1, 1});
  manifest.m_keys.push_back({"k", "tours", std::string(kHash), withdrawn});
  return manifest;
}

HttpRequest RequestWith(std::string_view authorization) {
  HttpRequest request;
  if (!authorization.empty()) {
    request.m_headers.push_back({"authorization", std::string(authorization)});
  }
  return request;
}

}  // namespace

TEST_CASE(
    "only an existing key that is not withdrawn authenticates its workspace") {
  const ConfigSnapshot config(MakeManifest(false));
  const ConfigSnapshot withdrawn(MakeManifest(true));
  const Result<Caller> caller = Authenticate(RequestWith("Bearer abc"), config);
  REQUIRE(caller.has_value());
  CHECK(caller->m_workspace == "tours");
  CHECK(IsKeyValid(*caller, config));
  CHECK_FALSE(IsKeyValid(*caller, withdrawn));
  CHECK(Authenticate(RequestWith(""), config).error().m_code ==
        ResultCode::kMissingKey);
  CHECK(Authenticate(RequestWith("Basic abc"), config).error().m_code ==
        ResultCode::kMissingKey);
  CHECK(Authenticate(RequestWith("Bearer abd"), config).error().m_code ==
        ResultCode::kInvalidKey);
  CHECK(Authenticate(RequestWith("Bearer abc"), withdrawn).error().m_code ==
        ResultCode::kInvalidKey);
}

}  // namespace bronzecross
