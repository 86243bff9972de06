#include "http1/http_connection.h"

#include <algorithm>
#include <array>
#include <span>

#include "aio/wait.h"

namespace bronzecross {
namespace {

// Maximum number of bytes read in one system call.
constexpr size_t kReadBytes = 16'384;

// HasPeerClosed() reads no more while this many bytes are unparsed. It limits
// the memory for a peer that sends further messages before it gets a response.
constexpr size_t kMaxUnparsedBytes = 65'536;

// The same while the budget is short.
constexpr size_t kMaxUnparsedBytesIfShort = 4'096;

// A send buffer with a larger capacity is freed once it has been sent.
constexpr size_t kKeptCapacity = 64 << 10;

// What a connection takes beside its buffers: the socket, its tasks and the
// entries of the event loop.
constexpr size_t kConnectionBytes = 4'096;

// Number of reads after which other tasks run.
constexpr int kMaxReadsInTurn = 16;

std::array<char, kReadBytes>& ReadBuffer() {
  static thread_local std::array<char, kReadBytes> buffer;
  return buffer;
}

}  // namespace

HttpConnection::HttpConnection(std::unique_ptr<TcpStream> stream,
                               MessageKind incoming)
    : m_stream(std::move(stream)), m_parser(incoming) {}

PumpState HttpConnection::Pump() {
  if (m_failed) {
    return PumpState::kFailed;
  }
  const ParseState before = m_parser.GetState();
  if (before == ParseState::kComplete) {
    return PumpState::kProgress;
  }
  if (before == ParseState::kFailed) {
    return PumpState::kFailed;
  }
  if (!m_unparsed.empty()) {
    const size_t used = m_parser.Feed(m_unparsed);
    m_unparsed.erase(0, used);
    return m_parser.GetState() == ParseState::kFailed ? PumpState::kFailed
                                                      : PumpState::kProgress;
  }
  if (m_peer_closed) {
    return ReadEnd();
  }
  std::array<char, kReadBytes>& buffer = ReadBuffer();
  const IoResult result = m_stream->Read(buffer);
  switch (result.m_state) {
    case IoState::kAgain:
      if (!m_write_failed) {
        return PumpState::kAgain;
      }
      m_failed = true;
      return PumpState::kFailed;
    case IoState::kFailed:
      m_failed = true;
      return PumpState::kFailed;
    case IoState::kClosed:
      m_peer_closed = true;
      return ReadEnd();
    case IoState::kOk:
      break;
  }
  const std::string_view bytes(buffer.data(), result.m_bytes);
  const size_t used = m_parser.Feed(bytes);
  m_unparsed.append(bytes.substr(used));
  return m_parser.GetState() == ParseState::kFailed ? PumpState::kFailed
                                                    : PumpState::kProgress;
}

PumpState HttpConnection::ReadEnd() {
  if (m_write_failed) {
    m_failed = true;
    return PumpState::kFailed;
  }
  m_parser.FeedEnd();
  return PumpState::kEnded;
}

void HttpConnection::StartNextMessage() {
  m_parser.Reset();
  m_fault = ReadFault::kNone;
}

size_t HttpConnection::HeldBytes() const {
  return kConnectionBytes + m_parser.HeldBytes() + m_unparsed.capacity() +
         m_out.capacity();
}

BudgetVerdict HttpConnection::CountHeld(size_t more) {
  m_request_bytes = more;
  return m_bounds.m_lease == nullptr
             ? BudgetVerdict::kFits
             : m_bounds.m_lease->Hold(HeldBytes() + more);
}

bool HttpConnection::IsInsideBounds() {
  if (m_parser.GetState() == ParseState::kHead &&
      m_parser.HeadBytes() > m_bounds.m_incomplete_head_bytes) {
    m_fault = ReadFault::kHeadTooLarge;
  } else {
    m_fault = FaultOf(CountHeld(m_request_bytes));
  }
  return m_fault == ReadFault::kNone;
}

Task<> HttpConnection::YieldAfterManyReads() {
  if (++m_reads_in_turn >= kMaxReadsInTurn) {
    m_reads_in_turn = 0;
    co_await YieldToLoop();
  }
}

size_t HttpConnection::MaxUnparsedBytes() {
  return CountHeld(m_request_bytes) == BudgetVerdict::kFits
             ? kMaxUnparsedBytes
             : kMaxUnparsedBytesIfShort;
}

bool HttpConnection::HasPeerClosed() {
  while (!m_failed && !m_peer_closed && m_stream->IsReadReady() &&
         m_unparsed.size() < MaxUnparsedBytes()) {
    std::array<char, kReadBytes>& buffer = ReadBuffer();
    const IoResult result = m_stream->Read(buffer);
    switch (result.m_state) {
      case IoState::kAgain:
        return false;
      case IoState::kFailed:
        m_failed = true;
        break;
      case IoState::kClosed:
        m_peer_closed = true;
        break;
      case IoState::kOk:
        m_unparsed.append(buffer.data(), result.m_bytes);
        break;
    }
  }
  return m_failed || m_write_failed || m_peer_closed;
}

bool HttpConnection::Flush() {
  while (!m_failed && !m_write_failed && m_sent < m_out.size()) {
    const IoResult result =
        m_stream->Write(std::string_view(m_out).substr(m_sent));
    if (result.m_state == IoState::kAgain) {
      return true;
    }
    if (result.m_state != IoState::kOk) {
      m_write_failed = true;
      break;
    }
    m_sent += result.m_bytes;
  }
  if (m_sent == m_out.size()) {
    if (m_out.capacity() > kKeptCapacity) {
      std::string().swap(m_out);
    }
    m_out.clear();
    m_sent = 0;
  }
  return !m_failed && !m_write_failed;
}

Task<bool> HttpConnection::FlushAll(Millis deadline) {
  for (;;) {
    if (!Flush()) {
      co_return false;
    }
    if (QueuedBytes() == 0) {
      co_return true;
    }
    if (MonotonicNow() >= deadline) {
      co_return false;
    }
    WaitAny wait(deadline);
    wait.Add(m_stream->Writable());
    co_await wait;
  }
}

Task<bool> HttpConnection::WaitReadable(Millis deadline) {
  if (MonotonicNow() >= deadline) {
    co_return false;
  }
  WaitAny wait(deadline);
  wait.Add(m_stream->Readable());
  co_await wait;
  co_return true;
}

Task<bool> HttpConnection::ReadHead(Millis deadline) {
  m_reads_in_turn = 0;
  while (m_parser.GetState() == ParseState::kHead) {
    const PumpState state = Pump();
    if (state == PumpState::kFailed || state == PumpState::kEnded) {
      co_return m_parser.GetState() == ParseState::kComplete;
    }
    if (!IsInsideBounds()) {
      co_return false;
    }
    if (state == PumpState::kAgain) {
      const bool more = co_await WaitReadable(deadline);
      if (!more) {
        co_return false;
      }
    }
  }
  co_return m_parser.GetState() != ParseState::kFailed;
}

Task<bool> HttpConnection::ReadBody(Millis deadline, size_t limit) {
  const Millis began = MonotonicNow();
  m_reads_in_turn = 0;
  while (m_parser.GetState() == ParseState::kBody) {
    if (m_parser.Body().size() > limit || !IsInsideBounds()) {
      co_return false;
    }
    const PumpState state = Pump();
    if (state == PumpState::kFailed || state == PumpState::kEnded) {
      break;
    }
    if (state == PumpState::kProgress) {
      co_await YieldAfterManyReads();
      continue;
    }
    const Millis due =
        BodyDeadline(m_bounds.m_body_rate, began, m_parser.Body().size());
    const bool more = co_await WaitReadable(std::min(deadline, due));
    if (!more) {
      m_fault = due < deadline ? ReadFault::kTooSlow : ReadFault::kNone;
      co_return false;
    }
  }
  co_return m_parser.GetState() ==
      ParseState::kComplete&& m_parser.Body().size() <= limit;
}

}  // namespace bronzecross
