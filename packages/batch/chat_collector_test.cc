#include "batch/chat_collector.h"

#include <doctest/doctest.h>

namespace bronzecross {

using nlohmann::json;

TEST_CASE("a stream cut into any pieces gives the whole text") {
  const std::string stream =
      "data: {\"id\":\"x\",\"choices\":[{\"delta\":{\"content\":\"b \"}}]}\n\n"
      ": comment\n\n"
      "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"length\"}]}\n\n"
      "data: [DONE]\n\n";
  for (size_t size = 1; size < stream.size(); ++size) {
    ChatCollector collector;
    collector.m_text = "a ";
    for (size_t at = 0; at < stream.size(); at += size) {
      // The closing line is whole one byte before the stream ends.
      CHECK(collector.m_done == (at + 1 >= stream.size()));
      CollectChat(collector, std::string_view(stream).substr(at, size));
    }
    CHECK(collector.m_done);
    const json body = CollectedChat(collector);
    CHECK(body["choices"][0]["message"]["content"] == "a b ");
    CHECK(body["choices"][0]["finish_reason"] == "length");
  }
}

TEST_CASE("an item goes on after its partial output") {
  const json body = StreamingBody(
      R"({"model":"m","messages":[{"role":"user","content":"q"}]})", "so far");
  CHECK(body["stream"] == true);
  CHECK(body["continue_final_message"] == true);
  CHECK(body["messages"].back()["content"] == "so far");
}

// Guards against answers that lose what a collected text can't hold.
TEST_CASE("answers with several choices or tools are not collected") {
  CHECK(StreamingBody(R"({"messages":[],"n":2})", "").is_null());
  CHECK(StreamingBody(R"({"messages":[],"tools":[]})", "").is_null());
  CHECK(StreamingBody(R"({"prompt":"p"})", "").is_null());
}

}  // namespace bronzecross
