// The form of the manifest that VMs exchange: lists of named objects become
// objects by name, so that a merge patch names only what changed.

#ifndef BRONZECROSS_DISTRIBUTION_CONFIG_DOCUMENT_H_
#define BRONZECROSS_DISTRIBUTION_CONFIG_DOCUMENT_H_

#include <string>

#include <nlohmann/json.hpp>

#include "config/manifest.h"

namespace bronzecross {

nlohmann::json MakeDocument(const Manifest& manifest);

// Fails with kInvalidManifest. Lists come back in the order of their names.
Result<Manifest> ManifestFromDocument(nlohmann::json document);

int64_t DocumentGeneration(const nlohmann::json& document);

// Hash of the whole document, as text.
std::string DocumentHash(const nlohmann::json& document);

// A change from one document to a later one.
struct ConfigPatch {
  int64_t m_from = 0;
  int64_t m_to = 0;
  nlohmann::json m_merge;
  // Of the document that the patch leads to.
  std::string m_hash;
};

ConfigPatch MakePatch(const nlohmann::json& from, const nlohmann::json& to);

// The document after `patch`. Fails with kConflict if `document` is not the
// one that the patch starts from, or if the result's hash differs.
Result<nlohmann::json> ApplyPatch(nlohmann::json document,
                                  const ConfigPatch& patch);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISTRIBUTION_CONFIG_DOCUMENT_H_
