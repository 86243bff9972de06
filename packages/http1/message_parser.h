// An incremental HTTP/1.1 parser for one direction of a connection, over the
// http-parser library.

#ifndef BRONZECROSS_HTTP1_MESSAGE_PARSER_H_
#define BRONZECROSS_HTTP1_MESSAGE_PARSER_H_

#include <memory>
#include <string>
#include <string_view>

#include "http1/message_head.h"

namespace bronzecross {

enum class MessageKind { kRequest, kResponse };

enum class ParseState {
  kHead,      // the head isn't complete
  kBody,      // the head is complete, the message is not
  kComplete,  // the whole message was read
  kFailed,    // the bytes are no valid message
};

class MessageParser {
 public:
  explicit MessageParser(MessageKind kind);
  ~MessageParser();
  MessageParser(MessageParser&&) noexcept;
  MessageParser& operator=(MessageParser&&) noexcept;

  // Parses `bytes` up to the end of the message and returns how many belong to
  // it.
  size_t Feed(std::string_view bytes);
  // Tells that the connection has ended. Completes a response whose body is
  // delimited by the end of its connection.
  void FeedEnd();
  // Prepares for the next message of the connection.
  void Reset();
  // Makes a response complete with its head, as for a HEAD request.
  void ExpectNoBody();

  ParseState GetState() const;
  const MessageHead& GetHead() const;
  MessageHead TakeHead();
  // Body bytes parsed and not taken yet.
  std::string& Body();
  // Whether the connection may carry another message after this one.
  bool MayKeepAlive() const;
  // Whether the body's end is marked by a length or by chunks.
  bool IsFramed() const;
  // Declared body length; -1 if the message does not state one.
  int64_t ContentLength() const;
  // Bytes of the head read so far.
  size_t HeadBytes() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP1_MESSAGE_PARSER_H_
