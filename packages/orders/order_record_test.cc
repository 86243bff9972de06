#include "orders/order_record.h"

#include <doctest/doctest.h>

namespace bronzecross {

TEST_CASE(
    "order records round-trip through JSON and malformed ones are rejected") {
  const OrderRecord record{"vm-1", 7, 3, {{"e", "m", "v2"}}};
  const std::string text = EncodeOrderRecord(record);
  CHECK(*DecodeOrderRecord(text) == record);
  // Two encodings of the same record must differ, so that after a lost response
  // a writer can tell its own write from another writer's.
  CHECK(text != EncodeOrderRecord(record));
  CHECK_FALSE(DecodeOrderRecord("").has_value());
  CHECK_FALSE(DecodeOrderRecord("{\"vm\":3}").has_value());
  CHECK_FALSE(DecodeOrderRecord(text.substr(0, text.size() - 1)).has_value());
}

}  // namespace bronzecross
