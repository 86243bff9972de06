#include "membership/vm_list.h"

#include <doctest/doctest.h>

namespace bronzecross {

TEST_CASE("a VM list is parsed; a malformed one is rejected as a whole") {
  const Result<VmList> list = ParseVmList(
      R"({"vms":[{"id":"a","address":"127.0.0.1","peer_port":7,"zone":"z",)"
      R"("state":"leaving"}],"upstreams":[{"id":"e","state":"leaving"}]})");
  REQUIRE(list.has_value());
  CHECK(list->m_vms[0].m_leaving);
  CHECK(list->m_leaving_upstreams[0] == "e");
  CHECK_FALSE(ParseVmList(R"({"vms":[{"id":"a"}]})").has_value());
  CHECK_FALSE(ParseVmList("").has_value());
  for (const char* port : {"65536", "-1", "4294967296", "1e99", "\"7\""}) {
    CHECK_FALSE(ParseVmList(std::string(R"({"vms":[{"id":"a",)") +
                            R"("address":"127.0.0.1","peer_port":)" + port +
                            "}]}")
                    .has_value());
  }
}

// Guards against a VM that stops following the list, or ends, because of one
// odd entry of an upstream.
TEST_CASE("an odd entry of an upstream hides no other one") {
  const size_t depth = 200'000;
  const std::string nested = std::string(depth, '[') + std::string(depth, ']');
  for (const std::string& odd :
       {std::string("7"), std::string("null"), std::string(R"({"id":7})"),
        std::string(R"({"id":["e"],"state":"leaving"})"),
        std::string(R"({"id":"x","state":9})"), nested,
        R"({"id":"x","state":)" + nested + "}"}) {
    const Result<VmList> list =
        ParseVmList(R"({"vms":[],"upstreams":[)" + odd +
                    R"(,{"id":"e","state":"leaving"}]})");
    REQUIRE(list.has_value());
    CHECK(list->m_leaving_upstreams == std::vector<std::string>{"e"});
  }
}

}  // namespace bronzecross
