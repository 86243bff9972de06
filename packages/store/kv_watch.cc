#include "store/kv_watch.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "base/base64.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr size_t kMaxLineBytes = 8 << 20;

std::string GetText(const json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : "";
}

KvChange ToChange(const json& event) {
  KvChange change;
  change.m_deleted = GetText(event, "type") == "DELETE";
  const auto kv = event.find("kv");
  if (kv != event.end() && kv->is_object()) {
    change.m_entry.m_key = Base64Decode(GetText(*kv, "key")).value_or("");
    change.m_entry.m_value = Base64Decode(GetText(*kv, "value")).value_or("");
    const bool parsed = absl::SimpleAtoi(GetText(*kv, "mod_revision"),
                                         &change.m_entry.m_mod_revision);
    static_cast<void>(parsed);
  }
  return change;
}

// Handles one line of the watch stream. Returns false if the watch has ended or
// the line is malformed.
bool HandleLine(std::string_view line,
                const std::function<void(const KvChange&)>& on_change) {
  const json message = json::parse(line, nullptr, false);
  if (message.is_discarded() || !message.is_object()) {
    return false;
  }
  const auto result = message.find("result");
  if (result == message.end() || !result->is_object() ||
      result->contains("canceled")) {
    return false;
  }
  const auto events = result->find("events");
  if (events != result->end() && events->is_array()) {
    for (const json& event : *events) {
      on_change(ToChange(event));
    }
  }
  return true;
}

}  // namespace

Error WatchPrefix(KvClient& client,
                  std::string_view prefix,
                  int64_t first_revision,
                  Millis max_duration,
                  const CancelToken& cancel,
                  const std::function<void(const KvChange&)>& on_change) {
  const std::string body =
      json{{"create_request",
            {{"key", Base64Encode(prefix)},
             {"range_end", Base64Encode(PrefixEnd(prefix))},
             {"start_revision", std::to_string(first_revision)}}}}
          .dump();
  HttpCall call;
  call.m_method = "POST";
  call.m_url = absl::StrCat(client.Endpoints().front(), "/v3/watch");
  call.m_headers = {{"Content-Type", "application/json"}};
  call.m_body = body;
  call.m_timeout = max_duration;
  call.m_cancel = &cancel;
  Result<std::unique_ptr<HttpStream>> stream = client.Http().Open(call);
  if (!stream) {
    return stream.error();
  }
  std::string pending;
  while (true) {
    const Result<std::string> chunk = (*stream)->ReadSome();
    if (!chunk) {
      return chunk.error();
    }
    pending += *chunk;
    size_t start = 0;
    for (size_t end = pending.find('\n'); end != std::string::npos;
         end = pending.find('\n', start)) {
      if (!HandleLine(std::string_view(pending).substr(start, end - start),
                      on_change)) {
        return Error{ResultCode::kStoreUnavailable,
                     "the store ended the watch or sent a malformed line"};
      }
      start = end + 1;
    }
    pending.erase(0, start);
    if (chunk->empty() || pending.size() > kMaxLineBytes) {
      return Error{ResultCode::kStoreUnavailable,
                   "the watch stream was closed or sent an overlong line"};
    }
  }
}

}  // namespace bronzecross
