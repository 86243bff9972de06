#include "online/completion_progress.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr std::string_view kData = "data:";

std::string_view EventData(std::string_view event) {
  if (!event.starts_with(kData)) {
    return {};
  }
  event.remove_prefix(kData.size());
  return event.starts_with(' ') ? event.substr(1) : event;
}

// Returns whether a chunk's delta has no fields besides content and role,
// except for empty ones.
bool IsTextDelta(const json& delta) {
  for (const auto& [name, value] : delta.items()) {
    const bool known = name == "content" || name == "role";
    if (!known && !value.is_null() && !value.empty()) {
      return false;
    }
  }
  return true;
}

void ApplyChoice(CompletionProgress& progress, const json& choice) {
  const json delta = choice.value("delta", json::object());
  if (choice.value("index", 0) != 0 || !delta.is_object() ||
      !IsTextDelta(delta) || choice.contains("text")) {
    progress.m_has_other_output = true;
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

tl::unexpected<Error> StreamError(std::string_view reason) {
  return FailMayHaveRun(ResultCode::kStreamCut, reason);
}

// Returns whether `id` is the current upstream's response id. The first id that
// the upstream sends is stored.
bool CheckChunkId(CompletionProgress& progress, const std::string& id) {
  if (progress.m_upstream_id.empty()) {
    progress.m_upstream_id = id;
  }
  if (progress.m_id.empty()) {
    progress.m_id = id;
  }
  return progress.m_upstream_id == id;
}

}  // namespace

Result<std::string> ConsumeEvent(CompletionProgress& progress,
                                 std::string event) {
  const std::string_view data = EventData(event);
  if (data.empty()) {
    return event;
  }
  if (data == "[DONE]") {
    progress.m_done = true;
    return event;
  }
  json chunk = json::parse(data, nullptr, false);
  if (!chunk.is_object()) {
    return StreamError("the upstream sent a malformed event");
  }
  try {
    if (chunk.contains("error")) {
      return StreamError("the upstream ended the stream with an error");
    }
    if (!CheckChunkId(progress, chunk.value("id", ""))) {
      return StreamError("the upstream sent a chunk of another response");
    }
    ++progress.m_chunks;
    for (const json& choice : chunk.value("choices", json::array())) {
      ApplyChoice(progress, choice);
    }
  } catch (const json::exception&) {
    return StreamError("the upstream sent a malformed event");
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
  if (progress.m_has_other_output || progress.m_finished ||
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
