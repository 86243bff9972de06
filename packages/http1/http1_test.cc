#include <doctest/doctest.h>

#include <string>

#include "http1/message_head.h"
#include "http1/message_parser.h"
#include "http1/write_message.h"

namespace bronzecross {
namespace {

TEST_CASE(
    "a request is parsed in pieces of any size without consuming the next "
    "one") {
  const std::string bytes =
      "POST /a/b?c=d HTTP/1.1\r\nHost: h.test\r\nContent-Length: 5\r\n\r\nhello"
      "GET /next HTTP/1.1\r\nHost: h.test\r\n\r\n";
  for (size_t step = 1; step < bytes.size(); ++step) {
    MessageParser parser(MessageKind::kRequest);
    size_t at = 0;
    while (parser.GetState() != ParseState::kComplete) {
      const size_t used = parser.Feed(std::string_view(bytes).substr(at, step));
      at += used;
      REQUIRE(parser.GetState() != ParseState::kFailed);
      REQUIRE(at <= bytes.size());
    }
    CHECK(parser.GetHead().m_method == "POST");
    CHECK(parser.GetHead().m_target == "/a/b?c=d");
    CHECK(parser.GetHead().Find("HOST") == "h.test");
    CHECK(parser.Body() == "hello");
    CHECK(parser.MayKeepAlive());
    parser.Reset();
    parser.Feed(std::string_view(bytes).substr(at));
    CHECK(parser.GetState() == ParseState::kComplete);
    CHECK(parser.GetHead().m_target == "/next");
  }
}

TEST_CASE(
    "a request with both lengths is rejected, since it allows request "
    "smuggling") {
  MessageParser parser(MessageKind::kRequest);
  parser.Feed(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n");
  CHECK(parser.GetState() == ParseState::kFailed);
}

TEST_CASE("a chunked body is complete only after its last chunk") {
  MessageParser parser(MessageKind::kResponse);
  parser.Feed(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  CHECK(parser.GetState() == ParseState::kBody);
  CHECK(parser.Body() == "abc");
  MessageParser cut = std::move(parser);
  cut.FeedEnd();
  CHECK(cut.GetState() == ParseState::kFailed);
}

TEST_CASE("a body without a length ends with the connection") {
  MessageParser parser(MessageKind::kResponse);
  parser.Feed("HTTP/1.1 200 OK\r\nX-Mark: s\r\n\r\nabc");
  CHECK(parser.GetState() == ParseState::kBody);
  CHECK_FALSE(parser.IsFramed());
  parser.FeedEnd();
  CHECK(parser.GetState() == ParseState::kComplete);
  CHECK(parser.Body() == "abc");
}

TEST_CASE("a body shorter than its Content-Length fails") {
  MessageParser parser(MessageKind::kResponse);
  parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
  parser.FeedEnd();
  CHECK(parser.GetState() == ParseState::kFailed);
}

TEST_CASE("bytes that are not an HTTP message fail") {
  MessageParser parser(MessageKind::kResponse);
  parser.Feed("\x16\x03\x01 not http at all\r\n\r\n");
  CHECK(parser.GetState() == ParseState::kFailed);
}

// Guards against a response whose status is none: 000, or one of another number
// of digits.
TEST_CASE("a response has a status of three digits from 100 to 599") {
  const auto parse = [](std::string_view line, size_t step) {
    MessageParser parser(MessageKind::kResponse);
    const std::string bytes =
        std::string(line) + "\r\nContent-Length: 0\r\n\r\n";
    size_t at = 0;
    while (at < bytes.size() && parser.GetState() != ParseState::kFailed &&
           parser.GetState() != ParseState::kComplete) {
      at += parser.Feed(std::string_view(bytes).substr(at, step));
    }
    return parser.GetState();
  };
  for (size_t step = 1; step < 20; ++step) {
    for (const char* line : {"HTTP/1.1 100", "HTTP/1.1 200 OK", "HTTP/1.0 204 ",
                             "HTTP/1.1 599 x", "\r\nHTTP/1.1 200 OK"}) {
      CAPTURE(line);
      CHECK(parse(line, step) == ParseState::kComplete);
    }
    for (const char* line :
         {"HTTP/1.1 000 OK", "HTTP/1.1 0 OK", "HTTP/1.1 20 OK",
          "HTTP/1.1 099 OK", "HTTP/1.1 101 OK", "HTTP/1.1 600 OK",
          "HTTP/1.1 999 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK",
          "HTTP/1.1  200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK"}) {
      CAPTURE(line);
      CHECK(parse(line, step) == ParseState::kFailed);
    }
  }
}

TEST_CASE("a response that ends inside its head fails") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Mark: s\r\n\r\n";
  for (size_t bytes = 0; bytes < head.size(); ++bytes) {
    CAPTURE(bytes);
    MessageParser parser(MessageKind::kResponse);
    parser.Feed(std::string_view(head).substr(0, bytes));
    parser.FeedEnd();
    CHECK(parser.GetState() == ParseState::kFailed);
  }
}

TEST_CASE("query values are percent-encoded and decoded") {
  CHECK(QueryValue("/p?a=1&b=x%2Fy%20z", "b") == "x/y z");
  CHECK(QueryValue("/p?a=1", "b") == std::nullopt);
  CHECK(QueryValue("/p?a=%zz", "a") == std::nullopt);
  CHECK(QueryValue("/p?v=" + EncodeQueryValue("a b&c=d%"), "v") == "a b&c=d%");
}

TEST_CASE("ParseDecimal accepts only unsigned decimal numbers in range") {
  CHECK(ParseDecimal("42") == 42);
  CHECK(ParseDecimal("") == std::nullopt);
  CHECK(ParseDecimal("-1") == std::nullopt);
  CHECK(ParseDecimal("4x") == std::nullopt);
  CHECK(ParseDecimal("99999999999999999999") == std::nullopt);
}

// Guards against text from outside that adds a field or a whole request.
TEST_CASE("a head that can't be sent as it is isn't written") {
  MessageHead head;
  head.m_method = "POST";
  head.m_target = "/x?y=\xc3\xa9";
  head.Add("Tenant", "a b");
  CHECK(WriteRequestHead(head) ==
        "POST /x?y=\xc3\xa9 HTTP/1.1\r\nTenant: a b\r\n\r\n");
  for (const char* target : {"", "/x y", "/x\r\n", "/\t", "/\x7f"}) {
    MessageHead odd = head;
    odd.m_target = target;
    CHECK_FALSE(WriteRequestHead(odd));
  }
  for (const char* value : {"a\r\nb: c", "a\n", "\r"}) {
    MessageHead odd = head;
    odd.Add("X", value);
    CHECK_FALSE(WriteRequestHead(odd));
    CHECK_FALSE(WriteResponseHead(odd));
  }
  MessageHead odd = head;
  odd.Add("X: y\r\nZ", "1");
  CHECK_FALSE(WriteRequestHead(odd));
  odd = head;
  odd.m_method = "POST /z HTTP/1.1\r\n";
  CHECK_FALSE(WriteRequestHead(odd));
  odd = head;
  odd.m_reason = "OK\r\nX: y";
  CHECK_FALSE(WriteResponseHead(odd));
}

TEST_CASE("hop-by-hop fields and invalid fields are detected") {
  CHECK(IsHopByHop("Transfer-Encoding", ""));
  CHECK(IsHopByHop("x-mine", "close, X-Mine"));
  CHECK_FALSE(IsHopByHop("X-Mark", "close"));
  CHECK(IsValidField("X-A", "b"));
  CHECK_FALSE(IsValidField("X-A", "b\r\nInjected: 1"));
  CHECK_FALSE(IsValidField("X A", "b"));
  CHECK_FALSE(IsValidField("", "b"));
}

TEST_CASE(
    "a chunk carries its length, and no chunk is written for an empty body") {
  std::string out;
  AppendChunk(out, "");
  CHECK(out.empty());
  AppendChunk(out, "0123456789abcdef");
  CHECK(out == "10\r\n0123456789abcdef\r\n");
}

}  // namespace
}  // namespace bronzecross
