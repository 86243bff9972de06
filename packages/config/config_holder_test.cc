#include "config/config_holder.h"

#include <doctest/doctest.h>

namespace bronzecross {

// Guards against a VM that reverts to an older manifest when a delayed message
// arrives.
TEST_CASE("an older or equal generation is never installed") {
  ConfigHolder holder;
  Manifest newer;
  newer.m_generation = 5;
  Manifest older;
  older.m_generation = 4;
  CHECK(holder.Install(newer));
  CHECK_FALSE(holder.Install(older));
  CHECK_FALSE(holder.Install(newer));
  CHECK(holder.Get()->Generation() == 5);
}

}  // namespace bronzecross
