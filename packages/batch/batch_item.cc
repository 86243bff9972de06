#include "batch/batch_item.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bronzecross {
namespace {

using nlohmann::json;

std::string Dump(const json& line) {
  return line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace

Result<BatchItem> ParseBatchItem(std::string_view line) {
  const json object = json::parse(line, nullptr, false);
  if (object.is_discarded() || !object.is_object()) {
    return Fail(ResultCode::kMalformedBody, "the line is not a JSON object");
  }
  BatchItem item;
  try {
    object.at("custom_id").get_to(item.m_custom_id);
    object.at("method").get_to(item.m_method);
    object.at("url").get_to(item.m_url);
    const json& body = object.at("body");
    item.m_body = body.dump();
    if (body.is_object() && body.contains("model")) {
      body.at("model").get_to(item.m_model);
    }
  } catch (const json::exception&) {
    return Fail(ResultCode::kMalformedBody,
                "the line needs custom_id, method, url and body");
  }
  if (item.m_custom_id.empty() || !item.m_url.starts_with('/')) {
    return Fail(ResultCode::kMalformedBody,
                "custom_id must not be empty and url must start with /");
  }
  return item;
}

Result<ItemRoute> FindItemRoute(const BatchItem& item,
                                const ConfigSnapshot& config) {
  if (item.m_url == "/v1/chat/completions" || item.m_url == "/v1/completions") {
    if (item.m_method != "POST") {
      return Fail(ResultCode::kMethodNotAllowed,
                  "this endpoint accepts only POST");
    }
    if (config.FindModel(item.m_model) == nullptr) {
      return Fail(ResultCode::kUnknownModel,
                  absl::StrCat("there is no model \"", item.m_model, "\""));
    }
    return ItemRoute{"m:" + item.m_model, true};
  }
  const RouteSpec* route = config.FindRoute(item.m_url);
  if (route == nullptr) {
    return Fail(ResultCode::kUnknownRoute,
                absl::StrCat("there is no route for ", item.m_url));
  }
  if (std::find(route->m_methods.begin(), route->m_methods.end(),
                item.m_method) == route->m_methods.end()) {
    return Fail(ResultCode::kMethodNotAllowed,
                absl::StrCat("the route does not allow ", item.m_method));
  }
  return ItemRoute{"s:" + route->m_service, route->m_idempotent};
}

std::string ResultLine(std::string_view custom_id, const HttpAnswer& response) {
  json body = json::parse(response.m_body, nullptr, false);
  if (body.is_discarded()) {
    body = response.m_body;
  }
  return Dump(
      {{"custom_id", custom_id},
       {"response",
        {{"status_code", response.m_status}, {"body", std::move(body)}}},
       {"error", nullptr}});
}

std::string ErrorLine(std::string_view custom_id, const Error& error) {
  return Dump({{"custom_id", custom_id},
               {"response", nullptr},
               {"error",
                {{"code", GetResultCodeInfo(error.m_code).m_name},
                 {"message", error.m_message},
                 {"run", RunStateName(error.m_run)}}}});
}

}  // namespace bronzecross
