#include <doctest/doctest.h>

#include "base/status_line.h"

namespace bronzecross {
namespace {

TEST_CASE("a status has three digits and is from 100 to 599, without 101") {
  CHECK(ParseStatus("HTTP/1.1 200 OK\r\n") == 200);
  CHECK(ParseStatus("HTTP/1.0 204\r\n") == 204);
  CHECK(ParseStatus("HTTP/1.1 100\n") == 100);
  CHECK(ParseStatus("HTTP/1.1 599 \r\n") == 599);
  for (const char* line :
       {"", "HTTP/1.1 200", "HTTP/1.1 000 OK", "HTTP/1.1 099 OK",
        "HTTP/1.1 101 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
        "HTTP/1.1 20 OK!", "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK",
        "HTTP/1.1  200 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2x0 OK",
        "HTTP/1.2 200 OK", "HTTP/2 200 OK  ", "http/1.1 200 OK"}) {
    CAPTURE(line);
    CHECK_FALSE(ParseStatus(line));
  }
}

}  // namespace
}  // namespace bronzecross
