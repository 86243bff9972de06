// One HTTP/1.1 connection: a TCP stream, the parser of what arrives and a
// buffer of what is to be sent. It serves both directions of use.

#ifndef BRONZECROSS_HTTP1_HTTP_CONNECTION_H_
#define BRONZECROSS_HTTP1_HTTP_CONNECTION_H_

#include <memory>
#include <string>
#include <string_view>

#include "aio/task.h"
#include "aio/tcp_stream.h"
#include "http1/message_parser.h"

namespace bronzecross {

enum class PumpState {
  kProgress,  // something was parsed
  kAgain,     // nothing has arrived; wait for Readable()
  kEnded,     // the peer closed in order; the parser was told
  kFailed,    // reset, or bytes that are no message
};

class HttpConnection {
 public:
  // `incoming` is what the peer sends.
  HttpConnection(std::unique_ptr<TcpStream> stream, MessageKind incoming);

  MessageParser& Parser() { return m_parser; }
  TcpStream& Stream() { return *m_stream; }
  Condition& Readable() { return m_stream->Readable(); }
  Condition& Writable() { return m_stream->Writable(); }

  // Reads and parses what has arrived, without waiting. Stops at the end of the
  // current message; further bytes wait for StartNextMessage().
  PumpState Pump();
  // Drops the parsed message and goes on with the bytes behind it.
  void StartNextMessage();
  // Whether the peer has closed its side or reset the connection. Bytes that
  // arrive early are kept.
  bool HasPeerLeft();
  // Whether bytes of a next message have arrived.
  bool HasEarlyBytes() const { return !m_unparsed.empty(); }

  // Appends to the send buffer.
  void Queue(std::string_view bytes) { m_out.append(bytes); }
  size_t QueuedBytes() const { return m_out.size() - m_sent; }
  // Sends what the socket takes. Returns false once the connection has failed.
  bool Flush();
  // Flushes all. Returns false on failure or when `deadline` passes.
  Task<bool> FlushAll(Millis deadline);
  // Reads until the message's head is complete. Returns false on failure, an
  // early end or when `deadline` passes.
  Task<bool> ReadHead(Millis deadline);
  // Reads the rest of the message. At most `limit` bytes of body are taken.
  Task<bool> ReadBody(Millis deadline, size_t limit);

  // Bookkeeping of a kept connection.
  Millis m_idle_until;  // when the peer may close it

 private:
  Task<bool> WaitReadable(Millis deadline);

  std::unique_ptr<TcpStream> m_stream;
  MessageParser m_parser;
  std::string m_unparsed;
  std::string m_out;
  size_t m_sent = 0;
  bool m_failed = false;
  bool m_peer_left = false;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP1_HTTP_CONNECTION_H_
