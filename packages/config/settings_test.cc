#include "config/settings.h"

#include <doctest/doctest.h>

namespace bronzecross {

TEST_CASE("each error in the settings is reported with file, line and reason") {
  const Result<Settings> settings = ParseSettings(
      "[vm]\nid = \"a\"\navailability_zone = 3\n[store]\nendpoints = []\n"
      "timeout_ms = 1\n[listen]\nhttp = \"localhost:1\"\n[nonsense]\n",
      "s.toml");
  REQUIRE_FALSE(settings.has_value());
  const std::string& text = settings.error().m_message;
  CHECK(text.find("s.toml:3: \"availability_zone\" must be a string") !=
        std::string::npos);
  CHECK(text.find("s.toml:5: \"endpoints\" needs") != std::string::npos);
  CHECK(text.find("s.toml:6: \"timeout_ms\" must lie") != std::string::npos);
  CHECK(text.find("s.toml:8: \"http\" must be an IPv4") != std::string::npos);
  CHECK(text.find("\"nonsense\" is not a known key") != std::string::npos);
}

TEST_CASE("a syntax error is reported with its line") {
  const Result<Settings> settings = ParseSettings("[vm]\nid = \n", "s.toml");
  REQUIRE_FALSE(settings.has_value());
  CHECK(settings.error().m_message.starts_with("s.toml:2: "));
}

}  // namespace bronzecross
