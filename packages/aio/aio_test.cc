#include <doctest/doctest.h>

#include <unistd.h>

#include <array>
#include <new>
#include <string>
#include <vector>

#include "aio/cancellation.h"
#include "aio/connection_table.h"
#include "aio/datagram_socket.h"
#include "aio/event_loop.h"
#include "aio/task.h"
#include "aio/tcp_listener.h"
#include "aio/wait.h"

namespace bronzecross {
namespace {

const NetAddress kAnyPort{"127.0.0.1", 0};

Task<int> Add(int a, int b) {
  co_await Sleep(Millis(1));
  co_return a + b;
}

Task<int> Throw() {
  co_await Sleep(Millis(1));
  throw std::bad_alloc();
}

Task<> AwaitThrow(int& destroyed) {
  struct Guard {
    int& m_count;
    ~Guard() { ++m_count; }
  };
  const Guard guard{destroyed};
  co_await Throw();
}

// Guards against an error in the work for one connection that takes the whole
// process down.
TEST_CASE("an exception ends an isolated task alone, and frees what it holds") {
  EventLoop loop;
  int destroyed = 0;
  SpawnIsolated(AwaitThrow(destroyed));
  Spawn([](EventLoop& stopped) -> Task<> {
    co_await Sleep(Millis(20));
    stopped.Stop();
  }(loop));
  loop.Run();
  CHECK(destroyed == 1);
}

Task<> Sum(EventLoop& loop, int& sum) {
  for (int i = 0; i < 3; ++i) {
    sum += co_await Add(i, 1);
  }
  loop.Stop();
}

TEST_CASE("a task can await other tasks and timers") {
  EventLoop loop;
  int sum = 0;
  Spawn(Sum(loop, sum));
  loop.Run();
  CHECK(sum == 6);
}

Task<> WaitForFlag(EventLoop& loop, CancelFlag& flag, Millis& took) {
  const Millis started = MonotonicNow();
  WaitAny wait(started + Millis(60'000));
  wait.Add(flag.Changed());
  co_await wait;
  took = MonotonicNow() - started;
  loop.Stop();
}

Task<> CancelSoon(CancelFlag& flag) {
  co_await Sleep(Millis(5));
  flag.Cancel();
  // A second notification must not resume the waiter again.
  flag.Cancel();
}

TEST_CASE("a wait ends with its first notification and is resumed only once") {
  EventLoop loop;
  CancelFlag flag;
  Millis took;
  Spawn(WaitForFlag(loop, flag, took));
  Spawn(CancelSoon(flag));
  loop.Run();
  CHECK(flag.IsCancelled());
  CHECK(took < Millis(60'000));
}

Task<std::string> ReadToEnd(TcpStream& stream) {
  std::string all;
  char buffer[64];
  for (;;) {
    const IoResult result = stream.Read(buffer);
    if (result.m_state == IoState::kOk) {
      all.append(buffer, result.m_bytes);
    } else if (result.m_state == IoState::kAgain) {
      WaitAny wait(MonotonicNow() + Millis(5'000));
      wait.Add(stream.Readable());
      co_await wait;
    } else {
      co_return all;
    }
  }
}

Task<> SendAndClose(std::unique_ptr<TcpStream> stream) {
  stream->Write("hello");
  co_return;
}

Task<> ConnectAndRead(EventLoop& loop, NetAddress address, std::string& read) {
  std::unique_ptr<TcpStream> stream =
      co_await TcpStream::Connect(address, MonotonicNow() + Millis(5'000));
  if (stream != nullptr) {
    // Data and the end of the stream both arrive before the first read.
    co_await Sleep(Millis(30));
    read = co_await ReadToEnd(*stream);
  }
  loop.Stop();
}

// Guards against missing the end of a stream that is reported together with its
// last bytes: edge-triggered epoll reports it only once.
TEST_CASE("the end of a stream is read after its last bytes") {
  EventLoop loop;
  Result<std::unique_ptr<TcpListener>> listener =
      TcpListener::Open(kAnyPort, [](std::unique_ptr<TcpStream> stream) {
        Spawn(SendAndClose(std::move(stream)));
      });
  REQUIRE(listener);
  std::string read;
  Spawn(ConnectAndRead(loop, (*listener)->GetAddress(), read));
  loop.Run();
  CHECK(read == "hello");
}

Task<> ConnectToClosedPort(EventLoop& loop, bool& connected) {
  // Nothing listens on port 1.
  const NetAddress closed_port{"127.0.0.1", 1};
  const std::unique_ptr<TcpStream> stream =
      co_await TcpStream::Connect(closed_port, MonotonicNow() + Millis(2'000));
  connected = stream != nullptr;
  loop.Stop();
}

TEST_CASE("Connect returns null if the connection is refused") {
  EventLoop loop;
  bool connected = true;
  Spawn(ConnectToClosedPort(loop, connected));
  loop.Run();
  CHECK_FALSE(connected);
}

Task<> StopSoon(EventLoop& loop, const std::string& received) {
  for (int i = 0; i < 500 && received.empty(); ++i) {
    co_await Sleep(Millis(5));
  }
  loop.Stop();
}

TEST_CASE("a datagram is delivered unchanged") {
  EventLoop loop;
  std::string received;
  // A loopback address derived from the process id, so that concurrent test
  // runs do not share a socket.
  const NetAddress address{"127.42." + std::to_string((getpid() >> 8) & 0xff) +
                               "." + std::to_string(getpid() & 0xff),
                           29'871};
  Result<std::unique_ptr<DatagramSocket>> receiver = DatagramSocket::Open(
      address, [&received](std::string_view bytes) { received = bytes; });
  Result<std::unique_ptr<DatagramSocket>> sender =
      DatagramSocket::Open(kAnyPort, [](std::string_view) {});
  REQUIRE(receiver);
  REQUIRE(sender);
  (*sender)->Send(address, "news");
  Spawn(StopSoon(loop, received));
  loop.Run();
  CHECK(received == "news");
}

// Serves nothing until the peer closes or the table closes the connection.
Task<> HoldConnection(ConnectionTable& table,
                      std::unique_ptr<TcpStream> stream,
                      bool closable) {
  ConnectionTable::Entry entry(table, *stream);
  entry.SetClosable(closable);
  std::array<char, 64> buffer;
  for (;;) {
    const IoResult result = stream->Read(buffer);
    if (result.m_state != IoState::kAgain) {
      co_return;
    }
    WaitAny wait(kNever);
    wait.Add(stream->Readable());
    co_await wait;
  }
}

Task<> OpenConnections(EventLoop& loop,
                       NetAddress address,
                       std::vector<std::unique_ptr<TcpStream>>& opened,
                       size_t count) {
  for (size_t i = 0; i < count; ++i) {
    opened.push_back(
        co_await TcpStream::Connect(address, MonotonicNow() + Millis(2'000)));
    co_await Sleep(Millis(20));
  }
  loop.Stop();
}

bool IsOpen(TcpStream& stream) {
  std::array<char, 64> buffer;
  return stream.Read(buffer).m_state == IoState::kAgain;
}

// Guards against idle connections that shut out new ones, and against the loss
// of connections that are being served.
TEST_CASE("a full table closes the oldest idle connection, or the new one") {
  EventLoop loop;
  int closed = 0;
  ConnectionTable table(3, [&] { ++closed; });
  int accepted = 0;
  const Result<std::unique_ptr<TcpListener>> listener = TcpListener::Open(
      kAnyPort,
      [&](std::unique_ptr<TcpStream> stream) {
        // The first connection is being served, as are all after the fifth.
        ++accepted;
        SpawnIsolated(HoldConnection(table, std::move(stream),
                                     accepted > 1 && accepted < 6));
      },
      &table);
  REQUIRE(listener);
  std::vector<std::unique_ptr<TcpStream>> opened;
  Spawn(OpenConnections(loop, (*listener)->GetAddress(), opened, 8));
  loop.Run();
  // Four to seven replaced the second to the fifth; there was no room for the
  // last.
  CHECK(accepted == 7);
  CHECK(closed == 5);
  CHECK(table.Size() == 3);
  const bool expected[] = {true, false, false, false, false, true, true, false};
  for (size_t i = 0; i < opened.size(); ++i) {
    CAPTURE(i);
    REQUIRE(opened[i] != nullptr);
    CHECK(IsOpen(*opened[i]) == expected[i]);
  }
}

}  // namespace
}  // namespace bronzecross
