// Serializes HTTP/1.1 messages.

#ifndef BRONZECROSS_HTTP1_WRITE_MESSAGE_H_
#define BRONZECROSS_HTTP1_WRITE_MESSAGE_H_

#include <string>
#include <string_view>

#include "http1/message_head.h"

namespace bronzecross {

// The standard reason phrase of `status`.
std::string_view ReasonPhrase(int status);

// The start line and fields of a request, with the closing empty line.
std::string WriteRequestHead(const MessageHead& head);
// The same of a response.
std::string WriteResponseHead(const MessageHead& head);

// Appends `body` as one chunk.
void AppendChunk(std::string& out, std::string_view body);

inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP1_WRITE_MESSAGE_H_
