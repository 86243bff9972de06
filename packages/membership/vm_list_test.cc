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
}

}  // namespace bronzecross
