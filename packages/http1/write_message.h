// Serializes HTTP/1.1 messages.

#ifndef BRONZECROSS_HTTP1_WRITE_MESSAGE_H_
#define BRONZECROSS_HTTP1_WRITE_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>

#include "http1/message_head.h"

namespace bronzecross {

// Returns the standard reason phrase of `status`.
std::string_view ReasonPhrase(int status);

// Returns the start line and fields of a request, with the final empty line, or
// std::nullopt if a part of the head can't be sent. Text from outside, such as
// a line break in a field, could otherwise add fields or another request.
std::optional<std::string> WriteRequestHead(const MessageHead& head);
// Returns the same for a response.
std::optional<std::string> WriteResponseHead(const MessageHead& head);

// Appends `body` as one chunk. Appends nothing if `body` is empty, since an
// empty chunk ends the message.
void AppendChunk(std::string& out, std::string_view body);

// Ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP1_WRITE_MESSAGE_H_
