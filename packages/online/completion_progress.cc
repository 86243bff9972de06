#include "online/completion_progress.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr std::string_view kData = "data:";

std::string_view DataOf(std::string_view event) {
  if (!event.starts_with(kData)) {
    return {};
  }
  event.remove_prefix(kData.size());
  return event.starts_with(' ') ? event.substr(1) : event;
}

// Whether every field of a chunk's delta is known and empty or a text.
bool IsTextDelta(const json& delta) {
  for (const auto& [name, value] : delta.items()) {
    const bool known = name == "content" || name == "role";
    if (!known && !value.is_null() && !value.empty()) {
      return false;
    }
  }
  return true;
}

void TakeChoice(CompletionProgress& progress, const json& choice) {
  const json delta = choice.value("delta", json::object());
  if (choice.value("index", 0) != 0 || !delta.is_object() ||
      !IsTextDelta(delta) || choice.contains("text")) {
    progress.m_beyond_text = true;
    return;
  }
  const auto content = delta.find("content");
  if (content != delta.end() && content->is_string()) {
    progress.m_text += content->get<std::string>();
  }
  const auto reason = choice.find("finish_reason");
  progress.m_finished =
      progress.m_finished || (reason != choice.end() && !reason->is_null());
}

tl::unexpected<Error> Reject(std::string_view reason) {
  return FailMayHaveRun(ResultCode::kStreamCut, reason);
}

// Whether `id` is that of the present upstream's answer; notes the first.
bool TakeId(CompletionProgress& progress, const std::string& id) {
  if (progress.m_upstream_id.empty()) {
    progress.m_upstream_id = id;
  }
  if (progress.m_id.empty()) {
    progress.m_id = id;
  }
  return progress.m_upstream_id == id;
}

}  // namespace

Result<std::string> TakeEvent(CompletionProgress& progress, std::string event) {
  const std::string_view data = DataOf(event);
  if (data.empty()) {
    return event;
  }
  if (data == "[DONE]") {
    progress.m_done = true;
    return event;
  }
  json chunk = json::parse(data, nullptr, false);
  if (!chunk.is_object()) {
    return Reject("the upstream's stream is damaged");
  }
  try {
    if (chunk.contains("error")) {
      return Reject("the upstream ended the stream with an error");
    }
    if (!TakeId(progress, chunk.value("id", ""))) {
      return Reject("the upstream's stream changed to another answer");
    }
    ++progress.m_chunks;
    for (const json& choice : chunk.value("choices", json::array())) {
      TakeChoice(progress, choice);
    }
  } catch (const json::exception&) {
    return Reject("the upstream's stream is damaged");
  }
  if (progress.m_id != progress.m_upstream_id) {
    chunk["id"] = progress.m_id;
    return "data: " + chunk.dump();
  }
  return event;
}

std::optional<std::string> ContinuationBody(
    const json& request,
    const CompletionProgress& progress) {
  if (progress.m_beyond_text || progress.m_finished ||
      !request.contains("messages") || !request["messages"].is_array() ||
      request["messages"].empty() || request.value("n", json(1)) != 1 ||
      request.contains("tools") || request.contains("continue_final_message")) {
    return std::nullopt;
  }
  json body = request;
  if (!progress.m_text.empty()) {
    body["messages"].push_back(
        {{"role", "assistant"}, {"content", progress.m_text}});
    body["continue_final_message"] = true;
    body["add_generation_prompt"] = false;
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace bronzecross
