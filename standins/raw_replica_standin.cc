#include "standins/raw_replica_standin.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>

#include "base/text.h"

namespace bronzecross {
namespace {

// Interval at which threads look whether the stand-in was stopped.
constexpr int kPollMs = 50;

// Size of the receive buffers. A long request doesn't fit, so its caller is
// still writing it while it isn't read.
constexpr int kReceiveBytes = 8'192;

constexpr std::string_view kIdField = "\r\nRequest-Id: ";

// Returns the request's id; empty if the head is incomplete.
std::string FindRequestId(std::string_view head) {
  if (head.find("\r\n\r\n") == std::string_view::npos) {
    return "";
  }
  const size_t at = head.find(kIdField);
  if (at == std::string_view::npos) {
    return "-";
  }
  const std::string_view rest = head.substr(at + kIdField.size());
  return std::string(rest.substr(0, rest.find('\r')));
}

std::string Replace(std::string text,
                    std::string_view mark,
                    const std::string& id) {
  for (size_t at = text.find(mark); at != std::string::npos;
       at = text.find(mark, at + id.size())) {
    text.replace(at, mark.size(), id);
  }
  return text;
}

bool WaitFor(int fd, short events) {
  pollfd entry = {fd, events, 0};
  return poll(&entry, 1, kPollMs) > 0;
}

}  // namespace

RawReplicaStandin::RawReplicaStandin(RawReplicaScript script)
    : m_script(std::move(script)) {
  const Result<int> listener = ListenTcp({"127.0.0.1", 0}, m_address);
  if (!listener) {
    std::fprintf(stderr, "raw replica: cannot listen\n");
    std::abort();
  }
  m_listener = *listener;
  setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &kReceiveBytes,
             sizeof(kReceiveBytes));
  m_acceptor = std::thread([this] { Accept(); });
}

RawReplicaStandin::~RawReplicaStandin() {
  m_stopped = true;
  m_acceptor.join();
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  close(m_listener);
}

void RawReplicaStandin::Accept() {
  while (!m_stopped) {
    if (!m_listens) {
      SleepFor(Millis(kPollMs));
      continue;
    }
    if (!WaitFor(m_listener, POLLIN)) {
      continue;
    }
    const int fd =
        accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd >= 0) {
      ++m_open;
      m_threads.emplace_back([this, fd] {
        const RawReplicaScript script = CurrentScript();
        Serve(fd, script);
        if (script.m_resets) {
          const linger option = {1, 0};
          setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        }
        close(fd);
        --m_open;
      });
    }
  }
}

void RawReplicaStandin::SetScript(const RawReplicaScript& script) {
  absl::MutexLock lock(&m_mutex);
  m_script = script;
}

RawReplicaScript RawReplicaStandin::CurrentScript() {
  absl::MutexLock lock(&m_mutex);
  return m_script;
}

void RawReplicaStandin::Serve(int fd, const RawReplicaScript& script) {
  std::string received;
  std::string to_send;
  size_t sent_bytes = 0;
  bool has_request = false;
  std::string first_id;
  std::array<char, 4096> buffer;
  while (!m_stopped) {
    const bool is_sending = !to_send.empty();
    if (!WaitFor(fd, is_sending ? POLLIN | POLLOUT : POLLIN) && is_sending) {
      continue;
    }
    ssize_t count = -1;
    errno = EAGAIN;
    if (!has_request || !script.m_ignores_body) {
      count = recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
    }
    if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)) {
      return;
    }
    if (count > 0 && !has_request) {
      received.append(buffer.data(), static_cast<size_t>(count));
      const std::string id = FindRequestId(received);
      if (!id.empty()) {
        has_request = true;
        ++m_requests;
        if (script.m_stops_listening) {
          m_listens = false;
          shutdown(m_listener, SHUT_RDWR);
        }
        m_later_requests += first_id.empty() ? 0 : 1;
        SleepFor(script.m_delay);
        to_send = Replace(first_id.empty() ? script.m_begin : script.m_later,
                          "{id}", id);
        to_send = Replace(to_send, "{first}", first_id);
        first_id = first_id.empty() ? id : first_id;
      }
    }
    if (has_request && to_send.empty()) {
      if (script.m_repeated.empty()) {
        if (script.m_closes) {
          return;
        }
        continue;
      }
      SleepFor(script.m_pause);
      to_send = script.m_repeated;
    }
    while (sent_bytes < to_send.size()) {
      const ssize_t sent =
          send(fd, to_send.data() + sent_bytes, to_send.size() - sent_bytes,
               MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0 && errno != EAGAIN && errno != EINTR) {
        return;
      }
      if (sent < 0) {
        break;
      }
      sent_bytes += static_cast<size_t>(sent);
    }
    if (sent_bytes == to_send.size()) {
      if (has_request && sent_bytes > 0 && !script.m_later.empty()) {
        has_request = false;
        received.clear();
      }
      to_send.clear();
      sent_bytes = 0;
    }
  }
}

}  // namespace bronzecross
