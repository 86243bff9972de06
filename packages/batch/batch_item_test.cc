#include "batch/batch_item.h"

#include <doctest/doctest.h>

namespace bronzecross {

TEST_CASE("a valid input line is parsed, malformed lines are rejected") {
  const Result<BatchItem> item = ParseBatchItem(
      R"({"custom_id":"a","method":"POST","url":"/v1/chat/completions",)"
      R"("body":{"model":"m"}})");
  REQUIRE(item.has_value());
  CHECK(item->m_model == "m");
  CHECK_FALSE(ParseBatchItem("").has_value());
  CHECK_FALSE(ParseBatchItem("[1]").has_value());
  CHECK_FALSE(ParseBatchItem(R"({"custom_id":1})").has_value());
  CHECK_FALSE(ParseBatchItem(R"({"custom_id":"","method":"POST",)"
                             R"("url":"/x","body":{}})")
                  .has_value());
}

}  // namespace bronzecross
