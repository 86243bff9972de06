#include "online/completion_progress.h"

#include <doctest/doctest.h>

#include "online/sse_splitter.h"

namespace bronzecross {
namespace {

using nlohmann::json;

std::string Chunk(std::string_view id, std::string_view text) {
  return "data: " + json{{"id", id},
                         {"choices",
                          {{{"index", 0},
                            {"delta", {{"content", text}}},
                            {"finish_reason", nullptr}}}}}
                        .dump();
}

}  // namespace

// Guards against a truncated stream that is taken as complete, and a complete
// one that is taken as truncated, for every split of the bytes.
TEST_CASE("a stream is complete only after its [DONE] event") {
  const std::string whole =
      "data: {\"id\":\"a\"}\r\n\r\n: ping\n\ndata: [DONE]\n\n";
  for (size_t split = 0; split <= whole.size(); ++split) {
    CompletionProgress progress;
    SseSplitter splitter;
    for (const std::string& part :
         {whole.substr(0, split), whole.substr(split)}) {
      REQUIRE(splitter.Add(part));
      while (std::optional<std::string> event = splitter.Next()) {
        CHECK(ConsumeEvent(progress, *event).has_value());
      }
    }
    CHECK(progress.m_done);
  }
  CompletionProgress cut;
  SseSplitter splitter;
  REQUIRE(splitter.Add(Chunk("a", "data: [DONE]") + "\n\ndata: [DONE"));
  CHECK(ConsumeEvent(cut, *splitter.Next()).has_value());
  CHECK_FALSE(splitter.Next().has_value());
  CHECK_FALSE(cut.m_done);
}

// Guards against forwarding another request's response to the caller.
TEST_CASE("a chunk with another response id is rejected") {
  CompletionProgress progress;
  CHECK(ConsumeEvent(progress, Chunk("a", "x ")).has_value());
  CHECK(ConsumeEvent(progress, Chunk("b", "y ")).error().m_code ==
        ResultCode::kStreamCut);
  CHECK(progress.m_text == "x ");
}

TEST_CASE(
    "a continuation sends the text so far, and its chunks keep the first id") {
  CompletionProgress progress;
  CHECK(ConsumeEvent(progress, Chunk("a", "x ")).has_value());
  CHECK(ConsumeEvent(progress, Chunk("a", "y ")).has_value());
  const json request = {{"model", "m"},
                        {"messages", {{{"role", "user"}, {"content", "q"}}}}};
  const json body = json::parse(*ContinuationBody(request, progress));
  CHECK(body["messages"].back()["content"] == "x y ");
  CHECK(body["continue_final_message"] == true);
  progress.m_upstream_id.clear();
  const Result<std::string> resumed = ConsumeEvent(progress, Chunk("c", "z "));
  REQUIRE(resumed.has_value());
  CHECK(json::parse(resumed->substr(6))["id"] == "a");
  CHECK(progress.m_text == "x y z ");
}

// Guards against resuming a response that has output besides its text.
TEST_CASE("responses with tool calls or several choices are not resumed") {
  CompletionProgress progress;
  const json request = {{"messages", {{{"role", "user"}, {"content", "q"}}}}};
  CHECK(ContinuationBody(request, progress).has_value());
  json several = request;
  several["n"] = 2;
  CHECK_FALSE(ContinuationBody(several, progress).has_value());
  const std::string call =
      R"(data: {"id":"a","choices":[{"index":0,"delta":{"tool_calls":[{}]}}]})";
  CHECK(ConsumeEvent(progress, call).has_value());
  CHECK_FALSE(ContinuationBody(request, progress).has_value());
}

}  // namespace bronzecross
