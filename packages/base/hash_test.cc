#include "base/hash.h"

#include <doctest/doctest.h>

namespace bronzecross {

TEST_CASE("SHA-256 matches the published test vector") {
  CHECK(Sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

}  // namespace bronzecross
