// The start line and header fields of one HTTP/1.1 message.

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

  // The value of the first field `name`, in any case; empty if there is none.
  std::string_view Find(std::string_view name) const;
  bool Has(std::string_view name) const;
  void Add(std::string_view name, std::string_view value);
};

// Whether the field can be written into a message without changing its form.
bool IsValidField(std::string_view name, std::string_view value);

// Whether the field concerns only one connection and is not forwarded.
// `connection` is the value of the message's Connection field, which may name
// further ones.
bool IsHopByHop(std::string_view name, std::string_view connection);

// The path of a request target, without the query.
std::string_view TargetPath(std::string_view target);

// The value of `name` in the query of a request target, percent-decoded;
// nothing if it is absent.
std::optional<std::string> QueryValue(std::string_view target,
                                      std::string_view name);

// Percent-encodes all but the unreserved characters and the slash.
std::string EncodeQueryValue(std::string_view value);

// A decimal number without sign; nothing if `text` is anything else.
std::optional<int64_t> ParseDecimal(std::string_view text);

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP1_MESSAGE_HEAD_H_
