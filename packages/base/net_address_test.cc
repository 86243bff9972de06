#include "base/net_address.h"

#include <doctest/doctest.h>

namespace bronzecross {

TEST_CASE(
    "addresses with a host name, an invalid port or no port are rejected") {
  CHECK(ParseNetAddress("127.0.0.1:80")->m_port == 80);
  CHECK_FALSE(ParseNetAddress("localhost:80").has_value());
  CHECK_FALSE(ParseNetAddress("127.0.0.1:65536").has_value());
  CHECK_FALSE(ParseNetAddress("127.0.0.1").has_value());
}

}  // namespace bronzecross
