#include "http1/write_message.h"

#include <http_parser.h>

#include "base/text.h"

namespace bronzecross {
namespace {

// Returns false if a field can't be sent.
bool AppendFields(std::string& out, const MessageHead& head) {
  for (const HeaderField& field : head.m_fields) {
    if (!IsValidField(field.m_name, field.m_value)) {
      return false;
    }
    AppendTo(out, field.m_name, ": ", field.m_value, "\r\n");
  }
  out += "\r\n";
  return true;
}

}  // namespace

std::string_view ReasonPhrase(int status) {
  return http_status_str(static_cast<http_status>(status));
}

std::optional<std::string> WriteRequestHead(const MessageHead& head) {
  std::string out = Concat(head.m_method, " ", head.m_target, " HTTP/1.1\r\n");
  if (!IsValidField(head.m_method, "") || !IsValidTarget(head.m_target) ||
      !AppendFields(out, head)) {
    return std::nullopt;
  }
  return out;
}

std::optional<std::string> WriteResponseHead(const MessageHead& head) {
  std::string out =
      Concat("HTTP/1.1 ", head.m_status, " ",
             head.m_reason.empty() ? std::string(ReasonPhrase(head.m_status))
                                   : head.m_reason,
             "\r\n");
  if (!IsValidField("reason", head.m_reason) || !AppendFields(out, head)) {
    return std::nullopt;
  }
  return out;
}

void AppendChunk(std::string& out, std::string_view body) {
  if (!body.empty()) {
    AppendTo(out, absl::Hex(body.size()), "\r\n", body, "\r\n");
  }
}

}  // namespace bronzecross
