#include "distribution/config_document.h"

#include <absl/strings/str_cat.h>

#include "base/hash.h"

namespace bronzecross {
namespace {

using nlohmann::json;

struct NamedList {
  const char* m_list_field;
  const char* m_name_field;
};

constexpr NamedList kNamedLists[] = {{"workspaces", "name"},
                                     {"keys", "id"},
                                     {"models", "name"},
                                     {"upstreams", "name"},
                                     {"routes", "path"}};

// Returns an object with the elements of `list` by their field `name`, or
// `list` itself if two elements have the same name.
json IndexByName(const json& list, const char* name) {
  json named = json::object();
  for (const json& element : list) {
    named[element.at(name).get<std::string>()] = element;
  }
  return named.size() == list.size() ? named : list;
}

json MakeMergePatch(const json& from, const json& to) {
  json patch = json::object();
  for (const auto& [key, value] : from.items()) {
    if (!to.contains(key)) {
      patch[key] = nullptr;
    }
  }
  for (const auto& [key, value] : to.items()) {
    const auto before = from.find(key);
    if (before == from.end()) {
      patch[key] = value;
    } else if (*before != value) {
      patch[key] = before->is_object() && value.is_object()
                       ? MakeMergePatch(*before, value)
                       : value;
    }
  }
  return patch;
}

}  // namespace

json MakeDocument(const Manifest& manifest) {
  json document = ManifestToJson(manifest);
  for (const NamedList& list : kNamedLists) {
    document[list.m_list_field] =
        IndexByName(document.at(list.m_list_field), list.m_name_field);
  }
  return document;
}

Result<Manifest> ManifestFromDocument(json document) {
  for (const NamedList& list : kNamedLists) {
    const auto found = document.find(list.m_list_field);
    if (found == document.end() || !found->is_object()) {
      continue;
    }
    json elements = json::array();
    for (const auto& [name, element] : found->items()) {
      elements.push_back(element);
    }
    *found = std::move(elements);
  }
  return ManifestFromJson(document);
}

int64_t DocumentGeneration(const json& document) {
  return document.is_object() ? document.value("generation", int64_t{0}) : 0;
}

std::string DocumentHash(const json& document) {
  return Hex64(Hash64(document.dump()));
}

ConfigPatch MakePatch(const json& from, const json& to) {
  return ConfigPatch{DocumentGeneration(from), DocumentGeneration(to),
                     MakeMergePatch(from, to), DocumentHash(to)};
}

Result<json> ApplyPatch(json document, const ConfigPatch& patch) {
  if (DocumentGeneration(document) != patch.m_from) {
    return Fail(ResultCode::kConflict,
                absl::StrCat("the patch starts from generation ", patch.m_from,
                             ", not ", DocumentGeneration(document)));
  }
  document.merge_patch(patch.m_merge);
  if (DocumentHash(document) != patch.m_hash) {
    return Fail(ResultCode::kConflict, "the patched manifest's hash differs");
  }
  return document;
}

}  // namespace bronzecross
