// Incremental HTTP/1.1 parser for one direction of a connection, based on the
// http-parser library. Responses must have a status that ParseStatus() accepts.

#ifndef BRONZECROSS_HTTP1_MESSAGE_PARSER_H_
#define BRONZECROSS_HTTP1_MESSAGE_PARSER_H_

#include <memory>
#include <string>
#include <string_view>

#include "http1/message_head.h"

namespace bronzecross {

enum class MessageKind { kRequest, kResponse };

enum class ParseState {
  kHead,      // the head is incomplete
  kBody,      // the head is complete, the message is not
  kComplete,  // the message is complete
  kFailed,    // the message is invalid
};

class MessageParser {
 public:
  explicit MessageParser(MessageKind kind);
  ~MessageParser();
  MessageParser(MessageParser&&) noexcept;
  MessageParser& operator=(MessageParser&&) noexcept;

  // Parses `bytes` up to the end of the message. Returns how many were
  // consumed.
  size_t Feed(std::string_view bytes);
  // Reports the end of the connection. It completes a response whose body is
  // delimited by that end, and fails any other incomplete message.
  void FeedEnd();
  // Prepares for the next message on the connection.
  void Reset();
  // Treats the response as complete after its head, as for a HEAD request.
  void ExpectNoBody();

  ParseState GetState() const;
  const MessageHead& GetHead() const;
  MessageHead TakeHead();
  // Returns the parsed body bytes, from which the caller may remove those it
  // has processed.
  std::string& Body();
  // Returns whether the connection may carry another message after this one.
  bool MayKeepAlive() const;
  // Returns whether the end of the body is determined by a length or by chunks.
  bool IsFramed() const;
  // Returns the declared body length, or -1 if the message does not state one.
  int64_t ContentLength() const;
  // Returns the number of bytes of the head read so far. Bytes of the body that
  // were fed together with the end of the head are included.
  size_t HeadBytes() const;
  // Returns about how much memory the parsed head and body take.
  size_t HeldBytes() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP1_MESSAGE_PARSER_H_
