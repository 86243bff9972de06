// Failing, slow, full and leaving upstreams, broken streams, deadlines and
// callers that hang up.

#include <atomic>
#include <thread>

#include <doctest/doctest.h>

#include "harness/cluster.h"
#include "harness/upstream_proxies.h"
#include "standins/raw_replica_standin.h"

namespace bronzecross {
namespace {

using nlohmann::json;

ChatRequest Request(Cluster& cluster, int vm, const std::string& prompt) {
  ChatRequest request;
  request.m_url = cluster.Url(vm);
  request.m_key = Cluster::Key(0);
  request.m_prompt = prompt;
  return request;
}

ClusterOptions Options(size_t engines, int vms) {
  ClusterOptions options;
  options.m_engines.resize(engines);
  options.m_vms = vms;
  options.m_data_vms = vms;
  // The limiter's buckets start empty and are not tested here.
  options.m_rate_per_s = 1e6;
  options.m_burst = 1e6;
  return options;
}

std::string ChatBody(const std::string& prompt, bool stream) {
  return json{{"model", "m"},
              {"max_tokens", 50},
              {"stream", stream},
              {"messages", {{{"role", "user"}, {"content", prompt}}}}}
      .dump();
}

}  // namespace

// Guards against a stream that is cut, repeats or skips tokens at a break.
TEST_CASE("a broken stream goes on at the right token on another engine") {
  Cluster cluster(Options(2, 1));
  UpstreamProxies proxies(cluster);
  ProxyFaults faults;
  faults.m_cut_after_bytes = 2000;
  proxies.Of("engine-0").SetFaults(faults);
  for (int i = 0; i < 6; ++i) {
    ChatRequest request = Request(cluster, 0, "resume " + std::to_string(i));
    request.m_tokens = 30;
    request.m_stream = true;
    const ChatOutcome outcome = cluster.Caller().Chat(request);
    CHECK(outcome.m_status == 200);
    CHECK(outcome.m_correct);
  }
  CHECK(cluster.Engine(0).Started() > 0);
}

// Guards against a cut answer that looks whole.
TEST_CASE("a stream that cannot go on ends by an error event and a cut") {
  Cluster cluster(Options(1, 1));
  UpstreamProxies proxies(cluster);
  ProxyFaults faults;
  faults.m_cut_after_bytes = 2000;
  proxies.SetAll(faults);
  const std::string body = ChatBody("cut", true);
  HttpClient client;
  HttpCall call;
  call.m_method = "POST";
  call.m_url = cluster.Url(0) + "/v1/chat/completions";
  call.m_headers = {{"Authorization", "Bearer " + Cluster::Key(0)}};
  call.m_body = body;
  const Result<std::unique_ptr<HttpStream>> stream = client.Open(call);
  REQUIRE(stream.has_value());
  std::string text;
  Result<std::string> piece = (*stream)->ReadSome();
  while (piece && !piece->empty()) {
    text += *piece;
    piece = (*stream)->ReadSome();
  }
  CHECK_FALSE(piece.has_value());
  CHECK(text.find("event: error") != std::string::npos);
  CHECK(text.find("[DONE]") == std::string::npos);
}

// Guards against an error, or its head, of the next engine in the middle of a
// caller's stream, and against a stream that ends as if it were complete.
TEST_CASE("an engine that fails to resume a stream leaves no trace in it") {
  const std::string failure = "failure of the next engine";
  for (const std::string& head :
       {std::string("500 Internal Server Error"),
        std::string("400 Bad Request"), std::string("429 Too Many Requests"),
        std::string("200 OK")}) {
    CAPTURE(head);
    Cluster cluster(Options(2, 1));
    UpstreamProxies proxies(cluster);
    ProxyFaults faults;
    faults.m_cut_after_bytes = 2000;
    proxies.Of("engine-0").SetFaults(faults);
    RawReplicaScript script;
    // An error may look like a whole stream.
    const std::string body = head == "200 OK"
                                 ? failure
                                 : "data: {\"error\":{\"message\":\"" +
                                       failure + "\"}}\n\ndata: [DONE]\n\n";
    script.m_begin = "HTTP/1.1 " + head +
                     "\r\nContent-Type: text/event-stream\r\n"
                     "Content-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body;
    script.m_closes = true;
    RawReplicaStandin raw(script);
    proxies.Of("engine-1").SetTarget(raw.Address());
    int started = 0;
    for (int i = 0; i < 8; ++i) {
      const std::string chat = ChatBody("resume " + std::to_string(i), true);
      HttpClient client;
      HttpCall call;
      call.m_method = "POST";
      call.m_url = cluster.Url(0) + "/v1/chat/completions";
      call.m_headers = {{"Authorization", "Bearer " + Cluster::Key(0)}};
      call.m_body = chat;
      const Result<std::unique_ptr<HttpStream>> stream = client.Open(call);
      if (!stream || (*stream)->HttpStatus() != 200) {
        continue;
      }
      std::string text;
      Result<std::string> piece = (*stream)->ReadSome();
      while (piece && !piece->empty()) {
        text += *piece;
        piece = (*stream)->ReadSome();
      }
      if (text.find("\"content\"") == std::string::npos) {
        continue;
      }
      ++started;
      CHECK(text.find("HTTP/1.1") == std::string::npos);
      CHECK(text.find(failure) == std::string::npos);
      // The first engine may have resumed it.
      CHECK(piece.has_value() ==
            (text.find("data: [DONE]") != std::string::npos));
    }
    CHECK(started > 0);
  }
}

// Guards against engines that work for callers that are gone.
TEST_CASE("a caller's hang-up cancels the work upstream") {
  ClusterOptions options = Options(1, 1);
  options.m_engines[0].m_prefill = Millis(5000);
  options.m_engines[0].m_cached_prefill = Millis(5000);
  Cluster cluster(options);
  for (const bool stream : {false, true}) {
    const int64_t before = cluster.Engine(0).Cancelled();
    const Result<HttpAnswer> answer = cluster.Caller().Call(
        "POST", cluster.Url(0) + "/v1/chat/completions", Cluster::Key(0),
        ChatBody("gone", stream), {}, Millis(300));
    CHECK_FALSE(answer.has_value());
    CHECK(WaitFor([&] { return cluster.Engine(0).Cancelled() == before + 1; },
                  Millis(3000)));
  }
}

// Guards against work that is sent after its caller stopped waiting, and
// against a full engine that is given more than its slots.
TEST_CASE("requests wait in the VM while engines are full, until a deadline") {
  ClusterOptions options = Options(1, 1);
  options.m_engines[0].m_slots = 1;
  options.m_engines[0].m_prefill = Millis(800);
  options.m_engines[0].m_cached_prefill = Millis(800);
  Cluster cluster(options);
  std::thread first([&] {
    CHECK(cluster.Caller().Chat(Request(cluster, 0, "first")).m_correct);
  });
  CHECK(WaitFor([&] { return cluster.Engine(0).Running() == 1; }));
  const std::string chat = cluster.Url(0) + "/v1/chat/completions";
  const Result<HttpAnswer> late = cluster.Caller().Call(
      "POST", chat, Cluster::Key(0), ChatBody("late", false),
      {{"X-Request-Timeout-Ms", "100"}});
  REQUIRE(late.has_value());
  CHECK(late->m_status == 504);
  CHECK(json::parse(late->m_body)["error"]["run"] == "not_run");
  CHECK(cluster.Caller().Chat(Request(cluster, 0, "second")).m_correct);
  first.join();
  CHECK(cluster.Engine(0).Started() == 2);
  CHECK(cluster.Engine(0).PeakLoad() == 1);
  const Result<HttpAnswer> wrong = cluster.Caller().Call(
      "POST", chat, Cluster::Key(0), ChatBody("wrong", false),
      {{"X-Request-Timeout-Ms", "soon"}});
  CHECK(wrong->m_status == 400);
  const Result<HttpAnswer> sent = cluster.Caller().Call(
      "POST", chat, Cluster::Key(0), ChatBody("sent", false),
      {{"X-Request-Timeout-Ms", "100"}});
  CHECK(sent->m_status == 504);
  CHECK(json::parse(sent->m_body)["error"]["run"] == "unknown");
}

// Guards against one workspace that holds up the others at a full engine.
TEST_CASE("workspaces take turns at a full engine") {
  ClusterOptions options = Options(1, 1);
  options.m_engines[0].m_slots = 1;
  options.m_engines[0].m_prefill = Millis(40);
  options.m_engines[0].m_cached_prefill = Millis(40);
  Cluster cluster(options);
  std::atomic<int> large_done = 0;
  std::vector<std::thread> large;
  for (int i = 0; i < 20; ++i) {
    large.emplace_back([&, i] {
      const ChatOutcome outcome = cluster.Caller().Chat(
          Request(cluster, 0, "large " + std::to_string(i)));
      CHECK(outcome.m_error_code == "");
      CHECK(outcome.m_correct);
      ++large_done;
    });
  }
  CHECK(WaitFor([&] { return cluster.Engine(0).Finished() >= 2; }));
  ChatRequest small = Request(cluster, 0, "small");
  small.m_key = Cluster::Key(1);
  CHECK(cluster.Caller().Chat(small).m_correct);
  CHECK(large_done < 15);
  for (std::thread& thread : large) {
    thread.join();
  }
  CHECK(cluster.Engine(0).PeakLoad() == 1);
}

// Guards against 5xx answers that count as successes, and against every VM
// finding out for itself.
TEST_CASE("an engine that answers 5xx is avoided by all VMs") {
  Cluster cluster(Options(3, 3));
  cluster.Engine(0).FailNext(1000, 500);
  for (int i = 0; i < 30; ++i) {
    const ChatOutcome outcome = cluster.Caller().Chat(
        Request(cluster, i % 3, "fails " + std::to_string(i)));
    CHECK(outcome.m_correct);
  }
  CHECK(cluster.Engine(0).Refused() >= 3);
  CHECK(cluster.Engine(0).Refused() <= 9);
  cluster.Engine(0).FailNext(0, 500);
  CHECK(WaitFor([&] {
    cluster.Caller().Chat(Request(cluster, 0, "probe"));
    cluster.Caller().Chat(Request(cluster, 1, "probe"));
    return cluster.Engine(0).Finished() > 0;
  }));
}

// Guards against an engine that works again and gets no request, since the
// learned time of another one is below the mean of all.
TEST_CASE("an engine that works again is tried beside a faster one") {
  Cluster cluster(Options(3, 3));
  cluster.Engine(0).FailNext(1000, 500);
  int asked = 0;
  CHECK(WaitFor([&] {
    ++asked;
    const std::string prompt = "fails " + std::to_string(asked);
    CHECK(cluster.Caller().Chat(Request(cluster, asked % 3, prompt)).m_correct);
    return cluster.Engine(0).Refused() >= 3;
  }));
  cluster.Engine(2).SetSlowdown(10);
  for (int i = 0; i < 6; ++i) {
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 12; ++caller) {
      callers.emplace_back([&cluster, caller] {
        cluster.Caller().Chat(Request(cluster, caller % 3, "learn"));
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
  }
  cluster.Engine(0).FailNext(0, 500);
  CHECK(WaitFor([&] {
    cluster.Caller().Chat(Request(cluster, 0, "probe"));
    return cluster.Engine(0).Finished() > 0;
  }));
}

// Guards against work sent to an upstream that the platform takes away.
TEST_CASE("a leaving engine gets nothing new after a few seconds") {
  Cluster cluster(Options(2, 3));
  cluster.VmList().SetLeavingUpstream("engine-0", true);
  SleepFor(Millis(1500));
  const int64_t before = cluster.Engine(0).Started();
  for (int i = 0; i < 15; ++i) {
    CHECK(cluster.Caller()
              .Chat(Request(cluster, i % 3, "leave " + std::to_string(i)))
              .m_correct);
  }
  CHECK(cluster.Engine(0).Started() == before);
}

// Guards against a replica that answers slowly while its report shows no load.
TEST_CASE("a slow engine is found by its answers") {
  Cluster cluster(Options(3, 2));
  cluster.Engine(1).SetSlowdown(20);
  int64_t before = 0;
  for (int i = 0; i < 60; ++i) {
    if (i == 30) {
      before = cluster.Engine(1).Finished();
    }
    cluster.Caller().Chat(Request(cluster, i % 2, "slow " + std::to_string(i)));
  }
  CHECK(cluster.Engine(1).Finished() - before <= 3);
}

// Guards against a request that fails because one engine lacks the model or is
// throttled.
TEST_CASE("refusals of one engine do not reach the caller") {
  ClusterOptions options = Options(2, 1);
  options.m_engines[0].m_models = {"other"};
  Cluster cluster(options);
  for (int i = 0; i < 6; ++i) {
    CHECK(cluster.Caller()
              .Chat(Request(cluster, 0, "model " + std::to_string(i)))
              .m_correct);
  }
  cluster.Engine(1).FailNext(1, 429, 1);
  CHECK(cluster.Caller().Chat(Request(cluster, 0, "quota")).m_correct);
  CHECK(cluster.Engine(1).Refused() == 1);
}

}  // namespace bronzecross
