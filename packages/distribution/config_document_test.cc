#include "distribution/config_document.h"

#include <doctest/doctest.h>

namespace bronzecross {
namespace {

Manifest MakeManifest(int64_t generation) {
  Manifest manifest;
  manifest.m_generation = generation;
  manifest.m_halves = {"north"};
  for (int i = 0; i < 100; ++i) {
    const std::string name = "w" + std::to_string(100 + i);
    manifest.m_workspaces.push_back({name, 10, 20});
    manifest.m_keys.push_back({"k" + name, name, std::string(64, 'a'), false});
  }
  return manifest;
}

}  // namespace

TEST_CASE("a document converts back to the same manifest") {
  const Manifest manifest = MakeManifest(3);
  const Result<Manifest> restored =
      ManifestFromDocument(MakeDocument(manifest));
  REQUIRE(restored.has_value());
  CHECK(*restored == manifest);
}

// Guards against pushes that send the whole list of keys when one key changes.
TEST_CASE("a patch contains only the changes and yields the same document") {
  const nlohmann::json before = MakeDocument(MakeManifest(3));
  Manifest manifest = MakeManifest(4);
  manifest.m_keys[50].m_withdrawn = true;
  manifest.m_workspaces.erase(manifest.m_workspaces.begin() + 10);
  const nlohmann::json after = MakeDocument(manifest);
  const ConfigPatch patch = MakePatch(before, after);
  CHECK(patch.m_merge.dump().size() < 150);
  const Result<nlohmann::json> patched = ApplyPatch(before, patch);
  REQUIRE(patched.has_value());
  CHECK(*patched == after);
}

// Guards against a manifest that mixes two generations.
TEST_CASE("a patch for another document or with another result is rejected") {
  const nlohmann::json before = MakeDocument(MakeManifest(3));
  const nlohmann::json after = MakeDocument(MakeManifest(4));
  ConfigPatch patch = MakePatch(before, after);
  CHECK_FALSE(ApplyPatch(after, patch).has_value());
  nlohmann::json other = before;
  other["max_loads"] = 9;
  CHECK_FALSE(ApplyPatch(other, patch).has_value());
}

}  // namespace bronzecross
