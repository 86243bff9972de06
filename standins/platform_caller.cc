#include "standins/platform_caller.h"

#include <nlohmann/json.hpp>

#include "base/base64.h"
#include "base/text.h"

namespace bronzecross {
namespace {

std::string ItemId(std::string_view job, int item) {
  return Concat(job, "-item-", item);
}

}  // namespace

std::vector<HttpHeader> PlatformCallerFields(std::string_view id,
                                             std::string_view key,
                                             int64_t deadline_ms) {
  std::vector<HttpHeader> fields;
  if (!id.empty()) {
    fields.push_back({"Request-Id", std::string(id)});
  }
  if (!key.empty()) {
    fields.push_back({"Authorization", Concat("Bearer ", key)});
  }
  fields.push_back({"Deadline-Ms", Concat(deadline_ms)});
  return fields;
}

HttpHeader PlatformPollWait(Millis wait) {
  return {"Wait-Ms", Concat(wait.count())};
}

std::string PlatformJobBody(std::string_view job, int items) {
  nlohmann::json body;
  body["items"] = nlohmann::json::array();
  for (int i = 0; i < items; ++i) {
    body["items"].push_back({{"id", ItemId(job, i)},
                             {"path", "/batch/stream"},
                             {"headers", {{"Model", "m"}}},
                             {"body", Base64Encode(Concat("body ", i))},
                             {"tokens", 100}});
  }
  return body.dump();
}

std::string PlatformJobPath(std::string_view job) {
  return Concat("/api/lots/", job);
}

std::string PlatformResultsPath(std::string_view job) {
  return Concat(PlatformJobPath(job), "?after=0");
}

std::string PlatformItemPath(std::string_view job, int item) {
  return Concat("/api/items/", job, "?id=", ItemId(job, item));
}

}  // namespace bronzecross
