// An HTTP/1.1 connection: a TCP stream, a parser for incoming messages and a
// send buffer. Used by both clients and servers.

#ifndef BRONZECROSS_HTTP1_HTTP_CONNECTION_H_
#define BRONZECROSS_HTTP1_HTTP_CONNECTION_H_

#include <memory>
#include <string>
#include <string_view>

#include "aio/task.h"
#include "aio/tcp_stream.h"
#include "http1/message_parser.h"
#include "http1/read_bounds.h"

namespace bronzecross {

enum class PumpState {
  kProgress,  // something was parsed
  kAgain,     // no bytes available; wait for Readable()
  kEnded,     // orderly close by the peer, passed on to the parser
  kFailed,    // reset, invalid message, or an end after a failed write
};

class HttpConnection {
 public:
  // `incoming` is the kind of message that the peer sends.
  HttpConnection(std::unique_ptr<TcpStream> stream, MessageKind incoming);

  MessageParser& Parser() { return m_parser; }
  TcpStream& Stream() { return *m_stream; }
  Condition& Readable() { return m_stream->Readable(); }
  Condition& Writable() { return m_stream->Writable(); }

  // Sets the bounds for further messages; their lease must outlive the
  // connection or be replaced. By default there are none.
  void SetBounds(const ReadBounds& bounds) { m_bounds = bounds; }
  // Returns the bound that ended ReadHead() or ReadBody().
  ReadFault Fault() const { return m_fault; }
  // Returns about how much memory the connection takes.
  size_t HeldBytes() const;
  // Counts that, and `more` bytes that belong to its request, in the lease of
  // the bounds.
  BudgetVerdict CountHeld(size_t more);

  // Reads and parses available bytes without waiting. Stops at the end of the
  // current message; further bytes are kept until StartNextMessage().
  PumpState Pump();
  // Discards the parsed message and continues with the bytes after it.
  void StartNextMessage();
  // Returns whether the peer has closed its sending side or reset the
  // connection. Bytes found while checking are kept for the parser.
  bool HasPeerClosed();
  // Returns whether bytes have been received that are not parsed yet.
  bool HasUnparsedBytes() const { return !m_unparsed.empty(); }

  // Appends to the send buffer.
  void Queue(std::string_view bytes) { m_out.append(bytes); }
  size_t QueuedBytes() const { return m_out.size() - m_sent; }
  // Sends as much as the socket accepts. Returns false once the connection has
  // failed. What the peer has sent before can still be read.
  bool Flush();
  // Sends the whole buffer. Returns false on failure or when `deadline` passes.
  Task<bool> FlushAll(Millis deadline);
  // Reads until the head of the message is complete. Returns false on failure,
  // premature end of the stream or when `deadline` passes.
  Task<bool> ReadHead(Millis deadline);
  // Reads the rest of the message. Returns false like ReadHead(), or if the
  // body is longer than `limit` bytes.
  Task<bool> ReadBody(Millis deadline, size_t limit);

  // Set by ConnectionPool: the time from which the peer may close the idle
  // connection, and whether an exchange was completed on the connection.
  Millis m_idle_until;
  bool m_is_reused = false;

 private:
  // Handles the end of the incoming bytes.
  PumpState ReadEnd();
  Task<bool> WaitReadable(Millis deadline);
  // Returns whether what has been read is inside the bounds, and sets m_fault
  // otherwise.
  bool IsInsideBounds();
  // Lets other tasks run after many reads without a wait.
  Task<> YieldAfterManyReads();
  // Maximum size of m_unparsed while a request is being served.
  size_t MaxUnparsedBytes();

  std::unique_ptr<TcpStream> m_stream;
  MessageParser m_parser;
  // Bytes received but not parsed yet.
  std::string m_unparsed;
  // Send buffer. Invariant: its first m_sent bytes have been sent.
  std::string m_out;
  size_t m_sent = 0;
  bool m_failed = false;
  // A write has failed. That takes the error off the socket: from then on, a
  // reset connection reads as if the peer had closed it in order. Invariant: an
  // end that is read after this is never passed on to the parser.
  bool m_write_failed = false;
  bool m_peer_closed = false;
  ReadBounds m_bounds;
  ReadFault m_fault = ReadFault::kNone;
  int m_reads_in_turn = 0;     // since the task last waited
  size_t m_request_bytes = 0;  // last argument of CountHeld()
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP1_HTTP_CONNECTION_H_
