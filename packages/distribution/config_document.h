// The form of the manifest that VMs exchange: lists of named objects become
// objects by name, so that a merge patch contains only what changed.

#ifndef BRONZECROSS_DISTRIBUTION_CONFIG_DOCUMENT_H_
#define BRONZECROSS_DISTRIBUTION_CONFIG_DOCUMENT_H_

#include <string>

#include <nlohmann/json.hpp>

#include "config/manifest.h"

namespace bronzecross {

nlohmann::json MakeDocument(const Manifest& manifest);

// Fails with kInvalidManifest. The lists are sorted by name.
Result<Manifest> ManifestFromDocument(nlohmann::json document);

int64_t DocumentGeneration(const nlohmann::json& document);

// Returns the hash of the whole document as text.
std::string DocumentHash(const nlohmann::json& document);

// The difference between a document and a later one.
struct ConfigPatch {
  int64_t m_from = 0;
  int64_t m_to = 0;
  nlohmann::json m_merge;
  // Hash of the resulting document.
  std::string m_hash;
};

ConfigPatch MakePatch(const nlohmann::json& from, const nlohmann::json& to);

// Returns `document` with `patch` applied. Fails with kConflict if `document`
// does not have the patch's source generation or if the hash of the result
// differs.
Result<nlohmann::json> ApplyPatch(nlohmann::json document,
                                  const ConfigPatch& patch);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISTRIBUTION_CONFIG_DOCUMENT_H_
