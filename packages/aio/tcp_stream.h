// A non-blocking TCP connection on the event loop.

#ifndef BRONZECROSS_AIO_TCP_STREAM_H_
#define BRONZECROSS_AIO_TCP_STREAM_H_

#include <memory>
#include <span>
#include <string_view>

#include "aio/event_loop.h"
#include "aio/task.h"
#include "aio/waiter.h"
#include "base/net_address.h"

namespace bronzecross {

enum class IoState {
  kOk,
  kAgain,   // would block; wait for Readable() or Writable()
  kClosed,  // end of file after an orderly close
  kFailed,  // reset or another error
};

struct IoResult {
  IoState m_state = IoState::kAgain;
  size_t m_bytes = 0;
};

// Settings of TCP keep-alive probes, which detect a peer that has become
// unreachable without a reset.
struct KeepAliveOptions {
  int m_idle_s = 1;
  int m_interval_s = 1;
  int m_probes = 2;
};

class TcpStream : public IoTarget {
 public:
  // Takes ownership of the non-blocking descriptor `fd`.
  explicit TcpStream(int fd);
  ~TcpStream() override;
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  // Opens a connection with keep-alive probes. Returns null if it is not
  // established by `deadline`, a time of MonotonicNow().
  static Task<std::unique_ptr<TcpStream>> Connect(NetAddress address,
                                                  Millis deadline);

  IoResult Read(std::span<char> buffer);
  IoResult Write(std::string_view bytes);

  // Whether Read() or Write() may make progress.
  bool IsReadReady() const { return m_read_ready; }
  bool IsWriteReady() const { return m_write_ready; }
  Condition& Readable() { return m_readable; }
  Condition& Writable() { return m_writable; }

  // Closes the connection at once; reads and writes fail from then on.
  void Close();
  // Makes the destructor reset the connection instead of closing it in order,
  // so that the peer cannot mistake a truncated message for a complete one.
  void SetResetOnClose();

  void OnReady(IoReadiness readiness) override;

 private:
  int m_fd;  // -1 after Close()
  uint64_t m_id;
  bool m_read_ready = true;
  bool m_write_ready = true;
  // Set once the peer has closed its sending side, or a write has failed. No
  // further event follows, so m_read_ready stays set until a read reaches the
  // end of the stream.
  bool m_hung_up = false;
  Condition m_readable;
  Condition m_writable;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_AIO_TCP_STREAM_H_
