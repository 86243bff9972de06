#include "orders/order_record.h"

#include <doctest/doctest.h>

namespace bronzecross {

TEST_CASE("order records survive the way through JSON, damaged ones do not") {
  const OrderRecord record{"vm-1", 7, 3, {{"e", "m", "v2"}}};
  const std::string text = EncodeOrderRecord(record);
  CHECK(*DecodeOrderRecord(text) == record);
  // Two writes of the same record must differ, so that a lost answer can be
  // told from another writer's success.
  CHECK(text != EncodeOrderRecord(record));
  CHECK_FALSE(DecodeOrderRecord("").has_value());
  CHECK_FALSE(DecodeOrderRecord("{\"vm\":3}").has_value());
  CHECK_FALSE(DecodeOrderRecord(text.substr(0, text.size() - 1)).has_value());
}

}  // namespace bronzecross
