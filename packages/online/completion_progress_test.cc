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

// Guards against a cut stream that counts as whole, and the reverse, however
// the bytes are split.
TEST_CASE("a stream is whole only with its closing event") {
  const std::string whole =
      "data: {\"id\":\"a\"}\r\n\r\n: ping\n\ndata: [DONE]\n\n";
  for (size_t split = 0; split <= whole.size(); ++split) {
    CompletionProgress progress;
    SseSplitter splitter;
    for (const std::string& part :
         {whole.substr(0, split), whole.substr(split)}) {
      REQUIRE(splitter.Add(part));
      while (std::optional<std::string> event = splitter.Next()) {
        CHECK(TakeEvent(progress, *event).has_value());
      }
    }
    CHECK(progress.m_done);
  }
  CompletionProgress cut;
  SseSplitter splitter;
  REQUIRE(splitter.Add(Chunk("a", "data: [DONE]") + "\n\ndata: [DONE"));
  CHECK(TakeEvent(cut, *splitter.Next()).has_value());
  CHECK_FALSE(splitter.Next().has_value());
  CHECK_FALSE(cut.m_done);
}

// Guards against another request's answer reaching the caller.
TEST_CASE("a chunk of another answer is not passed on") {
  CompletionProgress progress;
  CHECK(TakeEvent(progress, Chunk("a", "x ")).has_value());
  CHECK(TakeEvent(progress, Chunk("b", "y ")).error().m_code ==
        ResultCode::kStreamCut);
  CHECK(progress.m_text == "x ");
}

TEST_CASE("a continuation has the text so far, and its chunks the first id") {
  CompletionProgress progress;
  CHECK(TakeEvent(progress, Chunk("a", "x ")).has_value());
  CHECK(TakeEvent(progress, Chunk("a", "y ")).has_value());
  const json request = {{"model", "m"},
                        {"messages", {{{"role", "user"}, {"content", "q"}}}}};
  const json body = json::parse(*ContinuationBody(request, progress));
  CHECK(body["messages"].back()["content"] == "x y ");
  CHECK(body["continue_final_message"] == true);
  progress.m_upstream_id.clear();
  const Result<std::string> resumed = TakeEvent(progress, Chunk("c", "z "));
  REQUIRE(resumed.has_value());
  CHECK(json::parse(resumed->substr(6))["id"] == "a");
  CHECK(progress.m_text == "x y z ");
}

// Guards against resuming an answer whose state the text does not hold.
TEST_CASE("tool calls and several choices are not resumed") {
  CompletionProgress progress;
  const json request = {{"messages", {{{"role", "user"}, {"content", "q"}}}}};
  CHECK(ContinuationBody(request, progress).has_value());
  json several = request;
  several["n"] = 2;
  CHECK_FALSE(ContinuationBody(several, progress).has_value());
  const std::string call =
      R"(data: {"id":"a","choices":[{"index":0,"delta":{"tool_calls":[{}]}}]})";
  CHECK(TakeEvent(progress, call).has_value());
  CHECK_FALSE(ContinuationBody(request, progress).has_value());
}

}  // namespace bronzecross
