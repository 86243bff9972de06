#include "http1/message_head.h"

#include <array>

#include <absl/algorithm/container.h>
#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

#include "base/text.h"

namespace bronzecross {
namespace {

// Fields listed in RFC 9110, section 7.6.1, and in earlier versions of HTTP.
constexpr std::array<std::string_view, 8> kHopByHop = {
    "connection", "keep-alive", "proxy-connection",  "te",
    "trailer",    "upgrade",    "transfer-encoding", "proxy-authorization"};

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i] == '+' ? ' ' : text[i];
      continue;
    }
    if (i + 2 >= text.size() || !absl::ascii_isxdigit(text[i + 1]) ||
        !absl::ascii_isxdigit(text[i + 2])) {
      return std::nullopt;
    }
    out += absl::HexStringToBytes(std::string(text.substr(i + 1, 2)));
    i += 2;
  }
  return out;
}

}  // namespace

std::string_view MessageHead::Find(std::string_view name) const {
  for (const HeaderField& field : m_fields) {
    if (EqualsIgnoreCase(field.m_name, name)) {
      return field.m_value;
    }
  }
  return {};
}

bool MessageHead::Has(std::string_view name) const {
  for (const HeaderField& field : m_fields) {
    if (EqualsIgnoreCase(field.m_name, name)) {
      return true;
    }
  }
  return false;
}

void MessageHead::Add(std::string_view name, std::string_view value) {
  m_fields.push_back({std::string(name), std::string(value)});
}

bool IsValidField(std::string_view name, std::string_view value) {
  static constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";
  const bool is_token = !name.empty() && absl::c_all_of(name, [](char c) {
    return absl::ascii_isalnum(c) ||
           kTokenMarks.find(c) != std::string_view::npos;
  });
  return is_token && absl::c_none_of(value, [](char c) {
           return c == '\r' || c == '\n' || c == '\0';
         });
}

bool IsValidTarget(std::string_view target) {
  return !target.empty() && absl::c_none_of(target, [](char c) {
    const unsigned char byte = static_cast<unsigned char>(c);
    return byte <= ' ' || byte == 0x7f;
  });
}

bool IsHopByHop(std::string_view name, std::string_view connection) {
  for (const std::string_view hop : kHopByHop) {
    if (EqualsIgnoreCase(name, hop)) {
      return true;
    }
  }
  if (connection.empty()) {
    return false;
  }
  for (const std::string_view named : Split(connection, ',')) {
    if (EqualsIgnoreCase(TrimWhitespace(named), name)) {
      return true;
    }
  }
  return false;
}

std::string_view TargetPath(std::string_view target) {
  return target.substr(0, target.find_first_of("?#"));
}

std::optional<std::string> QueryValue(std::string_view target,
                                      std::string_view name) {
  const size_t start = target.find('?');
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  for (const std::string_view part : Split(target.substr(start + 1), '&')) {
    const size_t equals = part.find('=');
    if (part.substr(0, equals) == name) {
      return equals == std::string_view::npos
                 ? std::optional<std::string>("")
                 : PercentDecode(part.substr(equals + 1));
    }
  }
  return std::nullopt;
}

std::string EncodeQueryValue(std::string_view value) {
  constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string out;
  for (const char c : value) {
    if (absl::ascii_isalnum(c) ||
        std::string_view("-._~/").find(c) != std::string_view::npos) {
      out += c;
    } else {
      const unsigned char byte = static_cast<unsigned char>(c);
      out += '%';
      out += kHex[byte >> 4];
      out += kHex[byte & 15];
    }
  }
  return out;
}

std::optional<int64_t> ParseDecimal(std::string_view text) {
  int64_t value = 0;
  if (text.empty() || !absl::c_all_of(text, absl::ascii_isdigit) ||
      !absl::SimpleAtoi(std::string(text), &value)) {
    return std::nullopt;
  }
  return value;
}

}  // namespace bronzecross
