#include "config/manifest.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "config/config_snapshot.h"

namespace bronzecross {
namespace {

constexpr std::string_view kManifest = R"(halves = ["north", "south"]
[[workspace]]
name = "tours"
rate_per_s = 5.0
burst = 10.0
[[key]]
id = "k1"
workspace = "tours"
sha256 = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
[[model]]
name = "m"
[[upstream]]
name = "e1"
url = "http://127.0.0.1:9"
models = ["m"]
half = "north"
[[upstream]]
name = "s1"
kind = "service"
service = "desk"
url = "http://127.0.0.1:10"
[[route]]
path = "/desk"
service = "desk"
[[route]]
path = "/desk/receipts"
service = "desk"
)";

}  // namespace

TEST_CASE("a valid manifest is unchanged by a JSON round trip") {
  const Result<Manifest> manifest = ParseManifestToml(kManifest, "m.toml");
  REQUIRE(manifest.has_value());
  const Result<Manifest> again =
      ParseManifestJson(ManifestToJson(*manifest).dump());
  REQUIRE(again.has_value());
  CHECK(*again == *manifest);
}

TEST_CASE(
    "the longest matching route is used and matches at path boundaries only") {
  const ConfigSnapshot snapshot(*ParseManifestToml(kManifest, "m.toml"));
  CHECK(snapshot.FindRoute("/desk/receipts/7")->m_path == "/desk/receipts");
  CHECK(snapshot.FindRoute("/desk/other")->m_path == "/desk");
  CHECK(snapshot.FindRoute("/deskother") == nullptr);
}

TEST_CASE("each error is reported with file, line and reason") {
  const Result<Manifest> manifest = ParseManifestToml(
      "[[key]]\nid = \"k\"\nworkspace = \"none\"\nsha256 = \"xyz\"\n"
      "colour = 3\n[[workspace]]\nname = \"w\"\nrate_per_s = -1\n",
      "bad.toml");
  REQUIRE_FALSE(manifest.has_value());
  CHECK(manifest.error().m_code == ResultCode::kInvalidManifest);
  const std::string& text = manifest.error().m_message;
  CHECK(text.find("bad.toml:3: \"workspace\" names \"none\"") !=
        std::string::npos);
  CHECK(text.find("bad.toml:4: \"sha256\" must be 64") != std::string::npos);
  CHECK(text.find("bad.toml:5: \"colour\" is not a known key") !=
        std::string::npos);
  CHECK(text.find("bad.toml:8: \"rate_per_s\" must lie between") !=
        std::string::npos);
}

// Guards against a transfer of an upstream between halves that goes undetected,
// and against waiting for a transfer when no upstream changed its half.
TEST_CASE("only a change of an upstream's half updates the halves generation") {
  Manifest first = *ParseManifestToml(kManifest, "m.toml");
  AssignNextGeneration(Manifest{}, first);
  CHECK(first.m_generation == 1);
  CHECK(first.m_halves_generation == 0);
  Manifest second = first;
  AssignNextGeneration(first, second);
  CHECK(second.m_halves_generation == 0);
  Manifest third = second;
  third.m_upstreams[0].m_half = "south";
  AssignNextGeneration(second, third);
  CHECK(third.m_generation == 3);
  CHECK(third.m_halves_generation == 3);
}

TEST_CASE("malformed JSON from the store is rejected") {
  CHECK_FALSE(ParseManifestJson("{").has_value());
  CHECK_FALSE(ParseManifestJson("[]").has_value());
  CHECK_FALSE(ParseManifestJson(R"({"generation":"7"})").has_value());
}

}  // namespace bronzecross
