#include "harness/batch_caller.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kCallTimeout{10'000};
constexpr Millis kLookInterval{200};

std::string PromptOf(const BatchSpec& spec, int index) {
  return absl::StrCat(spec.m_name, " prompt ", index);
}

void CheckLine(const std::string& text,
               const BatchSpec& spec,
               BatchResult& result) {
  const json line = json::parse(text, nullptr, false);
  if (!line.is_object()) {
    ++result.m_wrong;
    return;
  }
  const std::string id = line.value("custom_id", "");
  ++result.m_lines[id];
  if (line["error"].is_object()) {
    result.m_error_codes[id] = line["error"].value("code", "");
    return;
  }
  if (line["response"].value("status_code", 0) != 200) {
    result.m_error_codes[id] = "status";
    return;
  }
  ++result.m_succeeded;
  const std::string mark = spec.m_name + "-chat-";
  if (id.starts_with(mark)) {
    const std::string prompt =
        PromptOf(spec, std::stoi(id.substr(mark.size())));
    const json& body = line["response"]["body"];
    result.m_wrong += body["choices"][0]["message"].value("content", "") ==
                              EngineAnswer(prompt, spec.m_tokens)
                          ? 0
                          : 1;
  }
}

}  // namespace

std::string BatchInput(const BatchSpec& spec) {
  std::string lines;
  for (int i = 0; i < spec.m_chat_items; ++i) {
    lines += json{{"custom_id", absl::StrCat(spec.m_name, "-chat-", i)},
                  {"method", "POST"},
                  {"url", "/v1/chat/completions"},
                  {"body",
                   {{"model", "m"},
                    {"max_tokens", spec.m_tokens},
                    {"messages",
                     {{{"role", "user"}, {"content", PromptOf(spec, i)}}}}}}}
                 .dump() +
             "\n";
  }
  for (int i = 0; i < spec.m_receipts; ++i) {
    lines += json{{"custom_id", absl::StrCat(spec.m_name, "-receipt-", i)},
                  {"method", "POST"},
                  {"url", "/desk/receipts"},
                  {"body", {{"receipt", absl::StrCat(spec.m_name, "-", i)}}}}
                 .dump() +
             "\n";
  }
  return lines + spec.m_extra;
}

bool EachOnce(const BatchResult& result, size_t items) {
  return result.m_lines.size() == items &&
         std::all_of(result.m_lines.begin(), result.m_lines.end(),
                     [](const auto& line) { return line.second == 1; });
}

std::string BatchCaller::Upload(int vm, const BatchSpec& spec, Millis timeout) {
  const std::string input = BatchInput(spec);
  std::string id;
  WaitFor(
      [&] {
        const json file = m_cluster.Caller().CallJson(
            "POST", m_cluster.Url(vm) + "/v1/files", Cluster::Key(0), input);
        if (file.is_object()) {
          id = file.value("id", "");
        }
        return !id.empty();
      },
      timeout);
  return id;
}

json BatchCaller::Submit(int vm,
                         const std::string& file,
                         const std::string& key,
                         const std::string& window) {
  const std::string body = json{
      {"input_file_id", file},
      {"endpoint", "/v1/chat/completions"},
      {"completion_window",
       window}}.dump();
  const Result<HttpAnswer> answer = m_cluster.Caller().Call(
      "POST", m_cluster.Url(vm) + "/v1/batches", Cluster::Key(0), body,
      {{"Idempotency-Key", key}}, kCallTimeout);
  return answer ? json::parse(answer->m_body, nullptr, false) : json();
}

json BatchCaller::Get(int vm, const std::string& job) {
  return m_cluster.Caller().CallJson(
      "GET", m_cluster.Url(vm) + "/v1/batches/" + job, Cluster::Key(0));
}

int64_t BatchCaller::Ended(int vm, const std::string& job) {
  const json batch = Get(vm, job);
  return batch.is_object() && batch.contains("request_counts")
             ? batch["request_counts"].value("completed", int64_t{0})
             : 0;
}

std::string BatchCaller::StateOf(int vm, const std::string& job) {
  const json batch = Get(vm, job);
  return batch.is_object() ? batch.value("status", "") : "";
}

std::string BatchCaller::WaitEnded(const std::vector<int>& vms,
                                   const std::string& job,
                                   Millis timeout) {
  std::string state;
  WaitFor(
      [&] {
        for (const int vm : vms) {
          state = StateOf(vm, job);
          if (!state.empty()) {
            break;
          }
        }
        const bool ended = state == "completed" || state == "failed" ||
                           state == "expired" || state == "cancelled";
        // Each look costs a call to the store, which measurements count.
        SleepFor(ended ? Millis(0) : kLookInterval);
        return ended;
      },
      timeout);
  return state;
}

BatchResult BatchCaller::Read(int vm,
                              const std::string& job,
                              const BatchSpec& spec) {
  BatchResult result;
  const json batch = Get(vm, job);
  result.m_readable = batch.is_object();
  for (const char* name : {"output_file_id", "error_file_id"}) {
    if (!result.m_readable || !batch.value(name, json()).is_string()) {
      result.m_readable = false;
      break;
    }
    const Result<HttpAnswer> content = m_cluster.Caller().Call(
        "GET",
        absl::StrCat(m_cluster.Url(vm), "/v1/files/",
                     batch[name].get<std::string>(), "/content"),
        Cluster::Key(0));
    if (!content || content->m_status != 200) {
      result.m_readable = false;
      break;
    }
    for (const absl::string_view line :
         absl::StrSplit(content->m_body, '\n', absl::SkipEmpty())) {
      CheckLine(std::string(line), spec, result);
    }
  }
  return result;
}

}  // namespace bronzecross
