#include "batch/chat_collector.h"

namespace bronzecross {
namespace {

using nlohmann::json;

void ParseChunk(ChatCollector& collector, const json& chunk) {
  if (!chunk.is_object() || chunk.contains("error")) {
    collector.m_invalid = true;
    return;
  }
  try {
    collector.m_id = chunk.value("id", collector.m_id);
    collector.m_model = chunk.value("model", collector.m_model);
    collector.m_created = chunk.value("created", collector.m_created);
    if (chunk.contains("usage") && chunk["usage"].is_object()) {
      collector.m_usage = chunk["usage"];
    }
    for (const json& choice : chunk.value("choices", json::array())) {
      const json delta = choice.value("delta", json::object());
      if (delta.contains("content") && delta["content"].is_string()) {
        collector.m_text += delta["content"].get<std::string>();
      }
      if (choice.contains("finish_reason") &&
          choice["finish_reason"].is_string()) {
        collector.m_finish_reason = choice["finish_reason"];
      }
    }
  } catch (const json::exception&) {
    collector.m_invalid = true;
  }
}

void ParseLine(ChatCollector& collector, std::string_view line) {
  if (!line.starts_with("data:")) {
    return;
  }
  line.remove_prefix(5);
  while (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  if (line.starts_with("[DONE]")) {
    collector.m_done = true;
  } else {
    ParseChunk(collector, json::parse(line, nullptr, false));
  }
}

}  // namespace

void CollectChat(ChatCollector& collector, std::string_view bytes) {
  collector.m_partial_line += bytes;
  std::string_view remaining = collector.m_partial_line;
  for (size_t end = remaining.find('\n'); end != std::string_view::npos;
       end = remaining.find('\n')) {
    ParseLine(collector, remaining.substr(0, end));
    remaining.remove_prefix(end + 1);
  }
  collector.m_partial_line = std::string(remaining);
}

json BuildCompletion(const ChatCollector& collector) {
  json body = {
      {"id", collector.m_id},
      {"object", "chat.completion"},
      {"created", collector.m_created},
      {"model", collector.m_model},
      {"choices",
       {{{"index", 0},
         {"message", {{"role", "assistant"}, {"content", collector.m_text}}},
         {"finish_reason", collector.m_finish_reason}}}}};
  if (!collector.m_usage.is_null()) {
    body["usage"] = collector.m_usage;
  }
  return body;
}

json MakeStreamingBody(std::string_view body, std::string_view partial) {
  json request = json::parse(body, nullptr, false);
  if (!request.is_object() || !request.contains("messages") ||
      !request["messages"].is_array()) {
    return nullptr;
  }
  for (const char* name : {"tools", "functions", "logprobs", "top_logprobs",
                           "continue_final_message", "audio"}) {
    if (request.contains(name)) {
      return nullptr;
    }
  }
  if (request.contains("n") && request["n"] != 1) {
    return nullptr;
  }
  request["stream"] = true;
  request["stream_options"] = {{"include_usage", true}};
  if (!partial.empty()) {
    request["messages"].push_back(
        {{"role", "assistant"}, {"content", partial}});
    request["continue_final_message"] = true;
    request["add_generation_prompt"] = false;
  }
  return request;
}

}  // namespace bronzecross
