#include "batch/chat_collector.h"

#include <doctest/doctest.h>

namespace bronzecross {

using nlohmann::json;

TEST_CASE("a stream split into pieces of any size gives the complete text") {
  const std::string stream =
      "data: {\"id\":\"x\",\"choices\":[{\"delta\":{\"content\":\"b \"}}]}\n\n"
      ": comment\n\n"
      "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"length\"}]}\n\n"
      "data: [DONE]\n\n";
  for (size_t size = 1; size < stream.size(); ++size) {
    ChatCollector collector;
    collector.m_text = "a ";
    for (size_t at = 0; at < stream.size(); at += size) {
      // The line of the final event is complete one byte before the stream
      // ends.
      CHECK(collector.m_done == (at + 1 >= stream.size()));
      CollectChat(collector, std::string_view(stream).substr(at, size));
    }
    CHECK(collector.m_done);
    const json body = BuildCompletion(collector);
    CHECK(body["choices"][0]["message"]["content"] == "a b ");
    CHECK(body["choices"][0]["finish_reason"] == "length");
  }
}

TEST_CASE("a streaming request continues after the partial output") {
  const json body = MakeStreamingBody(
      R"({"model":"m","messages":[{"role":"user","content":"q"}]})", "so far");
  CHECK(body["stream"] == true);
  CHECK(body["continue_final_message"] == true);
  CHECK(body["messages"].back()["content"] == "so far");
}

// Guards against responses that lose choices or tool calls because only their
// text is collected.
TEST_CASE(
    "requests with several choices, tools or no messages are not streamed") {
  CHECK(MakeStreamingBody(R"({"messages":[],"n":2})", "").is_null());
  CHECK(MakeStreamingBody(R"({"messages":[],"tools":[]})", "").is_null());
  CHECK(MakeStreamingBody(R"({"prompt":"p"})", "").is_null());
}

}  // namespace bronzecross
