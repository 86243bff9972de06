// The whole path from callers to upstreams through three entry VMs.

#include <signal.h>

#include <algorithm>

#include <doctest/doctest.h>

#include "harness/cluster.h"

namespace bronzecross {
namespace {

using nlohmann::json;

std::string BatchInput(int items) {
  std::string lines;
  for (int i = 0; i < items; ++i) {
    lines += json{{"custom_id", "item-" + std::to_string(i)},
                  {"method", "POST"},
                  {"url", "/v1/chat/completions"},
                  {"body",
                   {{"model", "m"},
                    {"max_tokens", 2},
                    {"messages",
                     {{{"role", "user"},
                       {"content", "prompt " + std::to_string(i)}}}}}}}
                 .dump() +
             "\n";
  }
  return lines;
}

std::string ErrorCode(const Result<HttpAnswer>& answer) {
  return json::parse(answer->m_body)["error"].value("code", "");
}

}  // namespace

TEST_CASE("every VM serves online requests, plain and streamed") {
  Cluster cluster({});
  for (int vm = 0; vm < cluster.VmCount(); ++vm) {
    for (const bool stream : {false, true}) {
      ChatRequest request;
      request.m_url = cluster.Url(vm);
      request.m_key = Cluster::Key(0);
      request.m_prompt = "hello";
      request.m_stream = stream;
      const ChatOutcome outcome = cluster.Caller().Chat(request);
      CHECK(outcome.m_status == 200);
      CHECK(outcome.m_correct);
    }
  }
}

TEST_CASE("a batch job handed in at one VM is readable at another") {
  Cluster cluster({});
  TestCaller& caller = cluster.Caller();
  const json file = caller.CallJson("POST", cluster.Url(0) + "/v1/files",
                                    Cluster::Key(0), BatchInput(20));
  REQUIRE(file.contains("id"));
  const json job =
      caller.CallJson("POST", cluster.Url(1) + "/v1/batches", Cluster::Key(0),
                      json{{"input_file_id", file["id"]},
                           {"endpoint", "/v1/chat/completions"},
                           {"completion_window", "24h"}}
                          .dump());
  REQUIRE(job.contains("id"));
  const std::string path = "/v1/batches/" + job["id"].get<std::string>();
  json state;
  REQUIRE(WaitFor([&] {
    state = caller.CallJson("GET", cluster.Url(2) + path, Cluster::Key(0));
    return state.value("status", "") == "completed";
  }));
  CHECK(state["request_counts"]["completed"] == 20);
  const Result<HttpAnswer> output =
      caller.Call("GET",
                  cluster.Url(0) + "/v1/files/" +
                      state["output_file_id"].get<std::string>() + "/content",
                  Cluster::Key(0));
  REQUIRE(output.has_value());
  CHECK(std::count(output->m_body.begin(), output->m_body.end(), '\n') == 20);
  const Result<HttpAnswer> other =
      caller.Call("GET", cluster.Url(0) + path, Cluster::Key(1));
  CHECK(other->m_status == 404);
}

// Guards against keys that leak to upstreams and against refusals that are not
// clear.
TEST_CASE("refusals are clear and keys stay here") {
  Cluster cluster({});
  TestCaller& caller = cluster.Caller();
  const std::string chat = cluster.Url(0) + "/v1/chat/completions";
  const std::string key = Cluster::Key(0);
  CHECK(ErrorCode(caller.Call("POST", chat, "", "{}")) == "missing_key");
  CHECK(ErrorCode(caller.Call("POST", chat, "wrong", "{}")) == "invalid_key");
  CHECK(ErrorCode(caller.Call("POST", chat, key, "{")) == "malformed_body");
  CHECK(ErrorCode(caller.Call("POST", chat, key, R"({"model":"none"})")) ==
        "unknown_model");
  CHECK(ErrorCode(caller.Call("GET", cluster.Url(0) + "/nowhere", key)) ==
        "unknown_route");
  CHECK(ErrorCode(caller.Call("DELETE", cluster.Url(0) + "/desk/receipts",
                              key)) == "method_not_allowed");
  const std::string large(9 << 20, 'x');
  const Result<HttpAnswer> refused = caller.Call("POST", chat, key, large);
  REQUIRE(refused.has_value());
  CHECK(refused->m_status == 413);
  CHECK(cluster.Engine(0).Started() + cluster.Engine(1).Started() +
            cluster.Engine(2).Started() ==
        0);

  CHECK(caller.Call("GET", cluster.Url(0) + "/desk/open", "")->m_status == 200);
  CHECK(caller.Call("POST", cluster.Url(0) + "/desk/receipts", "", "r1")
            ->m_status == 401);
  CHECK(caller.Call("POST", cluster.Url(0) + "/desk/receipts", key, "r1")
            ->m_status == 200);
  for (const HttpHeader& header : cluster.Service(0).SeenHeaders()) {
    CHECK(header.m_value.find(key) == std::string::npos);
  }
}

TEST_CASE("a withdrawn key is refused on every VM") {
  Cluster cluster({});
  cluster.GetManifest().m_keys[0].m_withdrawn = true;
  cluster.Publish();
  for (int vm = 0; vm < cluster.VmCount(); ++vm) {
    CHECK(WaitFor([&] {
      return cluster.Caller()
                 .Call("GET", cluster.Url(vm) + "/v1/models", Cluster::Key(0))
                 ->m_status == 401;
    }));
    CHECK(cluster.Caller()
              .Call("GET", cluster.Url(vm) + "/v1/models", Cluster::Key(1))
              ->m_status == 200);
  }
}

TEST_CASE("SIGTERM ends a VM with status 0") {
  ClusterOptions options;
  options.m_settings = "[drain]\nnotice_ms = 50\n";
  Cluster cluster(options);
  cluster.Vm(0).Signal(SIGTERM);
  CHECK(cluster.Vm(0).Wait(Millis(20'000)) == 0);
}

}  // namespace bronzecross
