// The start line and header fields of an HTTP/1.1 message.

#ifndef BRONZECROSS_HTTP1_MESSAGE_HEAD_H_
#define BRONZECROSS_HTTP1_MESSAGE_HEAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzecross {

struct HeaderField {
  std::string m_name;
  std::string m_value;
};

struct MessageHead {
  std::string m_method;  // requests only
  std::string m_target;  // requests only: path and query as sent
  int m_status = 0;      // responses only
  std::string m_reason;  // responses only
  std::vector<HeaderField> m_fields;

  // Returns the value of the first field called `name`, ignoring case, or an
  // empty string if there is none.
  std::string_view Find(std::string_view name) const;
  bool Has(std::string_view name) const;
  void Add(std::string_view name, std::string_view value);
};

// Returns whether the name is a token and the value contains no line break or
// NUL, so that the field cannot alter the structure of a message.
bool IsValidField(std::string_view name, std::string_view value);

// Returns whether a request line can hold the target: it has no spaces and no
// control characters.
bool IsValidTarget(std::string_view target);

// Returns whether the field applies to a single connection and must not be
// forwarded. `connection` is the value of the message's Connection field, which
// may name further such fields.
bool IsHopByHop(std::string_view name, std::string_view connection);

// Returns the path of a request target, without the query.
std::string_view TargetPath(std::string_view target);

// Returns the percent-decoded value of `name` in the query of a request target,
// or std::nullopt if it is absent or its encoding is invalid.
std::optional<std::string> QueryValue(std::string_view target,
                                      std::string_view name);

// Percent-encodes all characters but the unreserved ones and the slash.
std::string EncodeQueryValue(std::string_view value);

// Parses a decimal number without sign. Returns std::nullopt if `text` is
// anything else or out of range.
std::optional<int64_t> ParseDecimal(std::string_view text);

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP1_MESSAGE_HEAD_H_
