#include "soak/kept_connection.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "base/text.h"
#include "http1/message_parser.h"
#include "http1/write_message.h"

namespace bronzecross {
namespace {

// Callers allow a new connection this long.
constexpr Millis kConnectTimeout{1'000};

constexpr size_t kBlockBytes = 16 * 1024;

std::string Serialize(const SoakRequest& request) {
  MessageHead head;
  head.m_method = request.m_method;
  head.m_target = request.m_target;
  head.Add("Host", "gateway.test");
  for (const HttpHeader& field : request.m_fields) {
    head.Add(field.m_name, field.m_value);
  }
  head.Add("Content-Length", Concat(request.m_body.size()));
  return WriteRequestHead(head).value() + request.m_body;
}

}  // namespace

void KeptConnection::Close() {
  if (m_fd >= 0) {
    close(m_fd);
    m_fd = -1;
  }
}

CallEnd KeptConnection::Call(const SoakRequest& request,
                             Millis timeout,
                             SoakAnswer& answer) {
  if (m_fd < 0) {
    const Result<int> fd = ConnectTcp(m_address, kConnectTimeout);
    if (!fd) {
      return CallEnd::kNotSent;
    }
    m_fd = *fd;
  }
  const Millis until = MonotonicNow() + timeout;
  if (!SendAll(m_fd, Serialize(request))) {
    Close();
    return CallEnd::kBroken;
  }
  MessageParser parser(MessageKind::kResponse);
  std::array<char, kBlockBytes> block;
  while (parser.GetState() != ParseState::kComplete) {
    pollfd readable{m_fd, POLLIN, 0};
    const Millis left = until - MonotonicNow();
    if (left <= Millis() ||
        poll(&readable, 1, static_cast<int>(left.count())) <= 0) {
      Close();
      return CallEnd::kTimedOut;
    }
    const ssize_t got = recv(m_fd, block.data(), block.size(), 0);
    if (got > 0) {
      parser.Feed({block.data(), static_cast<size_t>(got)});
    } else {
      parser.FeedEnd();
    }
    if (parser.GetState() != ParseState::kComplete &&
        (got <= 0 || parser.GetState() == ParseState::kFailed)) {
      Close();
      return CallEnd::kBroken;
    }
  }
  answer.m_status = parser.GetHead().m_status;
  for (const HeaderField& field : parser.GetHead().m_fields) {
    answer.m_fields.push_back({field.m_name, field.m_value});
  }
  answer.m_body = parser.Body();
  if (!parser.MayKeepAlive()) {
    Close();
  }
  return CallEnd::kAnswered;
}

}  // namespace bronzecross
