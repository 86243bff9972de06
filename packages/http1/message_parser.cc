#include "http1/message_parser.h"

#include <http_parser.h>

#include <utility>

#include "base/status_line.h"

namespace bronzecross {
namespace {

// A buffer with a larger capacity is freed with its message. A connection that
// had a large message would otherwise hold its memory while it is idle.
constexpr size_t kKeptCapacity = 64 << 10;

}  // namespace

struct MessageParser::Impl {
  http_parser m_parser = {};
  http_parser_type m_type = HTTP_REQUEST;
  ParseState m_state = ParseState::kHead;
  MessageHead m_head;
  std::string m_body;
  bool m_in_value = false;
  bool m_no_body = false;
  bool m_keep_alive = false;
  int64_t m_content_length = -1;
  bool m_is_framed = true;
  size_t m_head_bytes = 0;
  // The first bytes of a response, at most kStatusLineBytes.
  std::string m_start;
  // Bytes of the target, the reason, and the names and values of fields.
  size_t m_text_bytes = 0;

  void Start() {
    http_parser_init(&m_parser, m_type);
    m_parser.data = this;
    m_state = ParseState::kHead;
    m_head = MessageHead();
    if (m_body.capacity() > kKeptCapacity) {
      std::string().swap(m_body);
    }
    m_body.clear();
    m_in_value = false;
    m_no_body = false;
    m_keep_alive = false;
    m_content_length = -1;
    m_is_framed = true;
    m_head_bytes = 0;
    m_start.clear();
    m_text_bytes = 0;
  }

  // Collects the first bytes of a response for ParseStatus(). Line ends
  // before them are skipped, as the library does.
  void CollectStart(std::string_view bytes) {
    for (const char c : bytes) {
      if (m_start.size() == kStatusLineBytes) {
        return;
      }
      if (!m_start.empty() || (c != '\r' && c != '\n')) {
        m_start.push_back(c);
      }
    }
  }

  // Returns false if the message is invalid.
  bool OnHeadersComplete() {
    m_state = ParseState::kBody;
    m_keep_alive = http_should_keep_alive(&m_parser) != 0;
    // The library uses the maximum value for a missing Content-Length.
    if (m_parser.content_length != UINT64_MAX) {
      m_content_length = static_cast<int64_t>(m_parser.content_length);
    }
    if (m_type == HTTP_REQUEST) {
      m_head.m_method = http_method_str(
          static_cast<http_method>(static_cast<unsigned>(m_parser.method)));
    } else {
      m_head.m_status = static_cast<int>(m_parser.status_code);
      const bool has_no_body = m_no_body || m_head.m_status < 200 ||
                               m_head.m_status == 204 || m_head.m_status == 304;
      m_is_framed = has_no_body || (m_parser.flags & F_CHUNKED) != 0 ||
                    m_content_length >= 0;
      return ParseStatus(m_start) == m_head.m_status;
    }
    return true;
  }
};

MessageParser::MessageParser(MessageKind kind)
    : m_impl(std::make_unique<MessageParser::Impl>()) {
  m_impl->m_type = kind == MessageKind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE;
  m_impl->Start();
}

MessageParser::~MessageParser() = default;
MessageParser::MessageParser(MessageParser&&) noexcept = default;
MessageParser& MessageParser::operator=(MessageParser&&) noexcept = default;

size_t MessageParser::Feed(std::string_view bytes) {
  using State = MessageParser::Impl;
  static const http_parser_settings kSettings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_url = [](http_parser* p, const char* at, size_t n) {
      State& self = *static_cast<State*>(p->data);
      self.m_text_bytes += n;
      self.m_head.m_target.append(at, n);
      return 0;
    };
    s.on_status = [](http_parser* p, const char* at, size_t n) {
      State& self = *static_cast<State*>(p->data);
      self.m_text_bytes += n;
      self.m_head.m_reason.append(at, n);
      return 0;
    };
    s.on_header_field = [](http_parser* p, const char* at, size_t n) {
      State& self = *static_cast<State*>(p->data);
      if (self.m_state != ParseState::kHead) {
        return 0;  // a trailer
      }
      if (self.m_in_value || self.m_head.m_fields.empty()) {
        self.m_head.m_fields.emplace_back();
        self.m_in_value = false;
      }
      self.m_text_bytes += n;
      self.m_head.m_fields.back().m_name.append(at, n);
      return 0;
    };
    s.on_header_value = [](http_parser* p, const char* at, size_t n) {
      State& self = *static_cast<State*>(p->data);
      if (self.m_state != ParseState::kHead) {
        return 0;
      }
      self.m_in_value = true;
      self.m_text_bytes += n;
      self.m_head.m_fields.back().m_value.append(at, n);
      return 0;
    };
    s.on_headers_complete = [](http_parser* p) {
      State& self = *static_cast<State*>(p->data);
      if (!self.OnHeadersComplete()) {
        return -1;
      }
      return self.m_no_body ? 1 : 0;
    };
    s.on_body = [](http_parser* p, const char* at, size_t n) {
      static_cast<State*>(p->data)->m_body.append(at, n);
      return 0;
    };
    s.on_message_complete = [](http_parser* p) {
      static_cast<State*>(p->data)->m_state = ParseState::kComplete;
      http_parser_pause(p, 1);
      return 0;
    };
    return s;
  }();
  State& self = *m_impl;
  if (self.m_state == ParseState::kComplete ||
      self.m_state == ParseState::kFailed || bytes.empty()) {
    return 0;
  }
  const bool in_head = self.m_state == ParseState::kHead;
  if (in_head && self.m_type == HTTP_RESPONSE) {
    self.CollectStart(bytes);
  }
  size_t used = http_parser_execute(&self.m_parser, &kSettings, bytes.data(),
                                    bytes.size());
  const http_errno error = HTTP_PARSER_ERRNO(&self.m_parser);
  if (error == HPE_PAUSED) {
    http_parser_pause(&self.m_parser, 0);
  } else if (error != HPE_OK) {
    self.m_state = ParseState::kFailed;
  } else if (self.m_parser.upgrade != 0 &&
             self.m_state != ParseState::kComplete) {
    self.m_state = ParseState::kFailed;
  }
  if (in_head) {
    self.m_head_bytes += used;
  }
  return used;
}

void MessageParser::FeedEnd() {
  if (m_impl->m_state == ParseState::kBody && !m_impl->m_is_framed) {
    m_impl->m_state = ParseState::kComplete;
  } else if (m_impl->m_state != ParseState::kComplete) {
    m_impl->m_state = ParseState::kFailed;
  }
}

void MessageParser::Reset() {
  m_impl->Start();
}

void MessageParser::ExpectNoBody() {
  m_impl->m_no_body = true;
}

ParseState MessageParser::GetState() const {
  return m_impl->m_state;
}
const MessageHead& MessageParser::GetHead() const {
  return m_impl->m_head;
}
MessageHead MessageParser::TakeHead() {
  return std::move(m_impl->m_head);
}
std::string& MessageParser::Body() {
  return m_impl->m_body;
}
bool MessageParser::MayKeepAlive() const {
  return m_impl->m_keep_alive;
}
bool MessageParser::IsFramed() const {
  return m_impl->m_is_framed;
}
int64_t MessageParser::ContentLength() const {
  return m_impl->m_content_length;
}
size_t MessageParser::HeadBytes() const {
  return m_impl->m_head_bytes;
}
size_t MessageParser::HeldBytes() const {
  // Strings that grow by appending have up to twice their size.
  return 2 * m_impl->m_text_bytes +
         m_impl->m_head.m_fields.capacity() * sizeof(HeaderField) +
         m_impl->m_body.capacity();
}

}  // namespace bronzecross
