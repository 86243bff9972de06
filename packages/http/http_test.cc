#include <sys/socket.h>
#include <unistd.h>

#include <atomic>

#include <doctest/doctest.h>

#include <absl/strings/str_cat.h>

#include "http/body_budget.h"
#include "http/http_client.h"
#include "http/http_error_reply.h"
#include "http/http_server.h"

namespace bronzecross {
namespace {

constexpr int64_t kMaxBody = 1000;

HttpServerOptions LocalOptions() {
  HttpServerOptions options;
  options.m_address = {"127.0.0.1", 0};
  return options;
}

BodyPlan PlanBody(HttpRequest&) {
  return BodyPlan{kMaxBody, nullptr, std::nullopt};
}

std::string Url(const HttpServer& server, std::string_view path) {
  return "http://" + server.Address().ToString() + std::string(path);
}

}  // namespace

TEST_CASE(
    "a request body is delivered to the handler, one over the limit is "
    "rejected") {
  HttpServer server(LocalOptions(),
                    {PlanBody, [](HttpRequest& request, const Status&) {
                       return JsonReply(200, request.m_body);
                     }});
  REQUIRE(server.Start().has_value());
  HttpClient client;
  HttpCall call;
  call.m_method = "POST";
  call.m_url = Url(server, "/echo");
  const std::string small(100, 'x');
  call.m_body = small;
  CHECK(client.Call(call)->m_body == small);
  const std::string large(kMaxBody + 1, 'x');
  call.m_body = large;
  const Result<HttpAnswer> refused = client.Call(call);
  REQUIRE(refused.has_value());
  CHECK(refused->m_status == 413);
  CHECK(FindHeader(refused->m_headers, kRunHeader) == "not_run");
}

// Guards against large bodies that leave no memory for ordinary requests.
TEST_CASE("a full budget refuses large bodies first") {
  std::atomic<int64_t> held = 0;
  {
    HeldBody large(held, 1'000'000);
    CHECK(large.Resize(700'000));
    HeldBody second(held, 1'000'000);
    CHECK_FALSE(second.Resize(100'000));
    CHECK(second.Resize(0));
    HeldBody small(held, 1'000'000);
    CHECK(small.Resize(kSmallBodyBytes));
    CHECK(held == 700'000 + static_cast<int64_t>(kSmallBodyBytes));
  }
  CHECK(held == 0);
  CHECK(DefaultBodyBudget() > 0);
}

TEST_CASE("a body over the server's budget is refused as not run") {
  HttpServerOptions options = LocalOptions();
  options.m_max_held_bytes = 200'000;
  int handled = 0;
  HttpServer server(options,
                    {[](HttpRequest&) {
                       return BodyPlan{1'000'000, nullptr, std::nullopt};
                     },
                     [&](HttpRequest&, const Status&) {
                       ++handled;
                       return JsonReply(200, "{}");
                     }});
  REQUIRE(server.Start().has_value());
  HttpClient client;
  HttpCall call;
  call.m_method = "POST";
  call.m_url = Url(server, "/x");
  const std::string large(500'000, 'x');
  call.m_body = large;
  for (int i = 0; i < 3; ++i) {
    const Result<HttpAnswer> refused = client.Call(call);
    REQUIRE(refused.has_value());
    CHECK(refused->m_status == 503);
    CHECK(FindHeader(refused->m_headers, "Retry-After") == "1");
    CHECK(FindHeader(refused->m_headers, kRunHeader) == "not_run");
  }
  CHECK(handled == 0);
  const std::string small(50'000, 'x');
  call.m_body = small;
  CHECK(client.Call(call)->m_status == 200);
}

// Guards against a lost refusal: a connection that is closed with unread bytes
// is reset, and a caller that is still sending then sees only the reset.
TEST_CASE(
    "a refusal based on the header is sent after the body has been read") {
  constexpr size_t kBodyBytes = 2'000'000;
  constexpr size_t kBlockBytes = 50'000;
  HttpServer server(
      LocalOptions(),
      {[](HttpRequest&) {
         BodyPlan plan;
         plan.m_max_bytes = kBodyBytes;
         plan.m_refusal =
             ErrorReply(Fail(ResultCode::kInvalidKey, "no key").value());
         return plan;
       },
       [](HttpRequest&, const Status&) { return JsonReply(200, "{}"); }});
  REQUIRE(server.Start().has_value());
  const Result<int> fd = ConnectTcp(server.Address(), Millis(1'000));
  REQUIRE(fd.has_value());
  const std::string head = absl::StrCat(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ", kBodyBytes, "\r\n\r\n");
  CHECK(send(*fd, head.data(), head.size(), MSG_NOSIGNAL) ==
        static_cast<ssize_t>(head.size()));
  const std::string block(kBlockBytes, 'x');
  size_t sent = 0;
  while (sent < kBodyBytes) {
    const ssize_t count = send(*fd, block.data(), block.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      break;
    }
    sent += static_cast<size_t>(count);
    SleepFor(Millis(2));
  }
  CHECK(sent == kBodyBytes);
  char reply[64] = {};
  const ssize_t received = recv(*fd, reply, sizeof(reply), 0);
  REQUIRE(received > 0);
  CHECK(std::string_view(reply, static_cast<size_t>(received))
            .starts_with("HTTP/1.1 401 "));
  close(*fd);
}

// Guards against a truncated stream that is taken for a complete response.
TEST_CASE(
    "the client gets an error if the body reader fails after some bytes") {
  HttpServer server(
      LocalOptions(),
      {PlanBody, [](HttpRequest&, const Status&) {
         HttpReply reply;
         int calls = 0;
         reply.m_reader =
             [calls](std::span<char> buffer) mutable -> Result<size_t> {
           if (++calls > 1) {
             return Fail(ResultCode::kStreamCut, "cut");
           }
           buffer[0] = 'a';
           return 1;
         };
         return reply;
       }});
  REQUIRE(server.Start().has_value());
  HttpClient client;
  HttpCall call;
  call.m_url = Url(server, "/");
  const Result<HttpAnswer> response = client.Call(call);
  REQUIRE_FALSE(response.has_value());
  CHECK(response.error().m_run == RunState::kUnknown);
}

// Guards against connections that are accepted, and never served, after the
// server has stopped listening.
TEST_CASE("no connection is accepted once the server has stopped listening") {
  // An address of this process alone, as another one could take the port.
  const int pid = getpid();
  HttpServerOptions options;
  options.m_address = {absl::StrCat("127.", 100 + ((pid >> 16) & 0x3f), ".",
                                    (pid >> 8) & 0xff, ".", pid & 0xff),
                       0};
  int accepted = 0;
  for (int i = 0; i < 200; ++i) {
    HttpServer server(options, {PlanBody, [](HttpRequest&, const Status&) {
                                  return JsonReply(200, "{}");
                                }});
    REQUIRE(server.Start().has_value());
    const NetAddress address = server.Address();
    server.StopListening();
    const Result<int> fd = ConnectTcp(address, Millis(1'000));
    if (fd) {
      ++accepted;
      close(*fd);
    }
  }
  CHECK(accepted == 0);
}

// Guards against wrongly preventing a retry, and wrongly allowing one.
TEST_CASE(
    "a refused connection is reported as not run, a time-out as unknown") {
  NetAddress bound;
  const Result<int> fd = ListenTcp({"127.0.0.1", 0}, bound);
  REQUIRE(fd.has_value());
  HttpCall call;
  call.m_url = "http://" + bound.ToString();
  call.m_timeout = Millis(200);
  HttpClient client;
  const Result<HttpAnswer> timed_out = client.Call(call);
  REQUIRE_FALSE(timed_out.has_value());
  CHECK(timed_out.error().m_run == RunState::kUnknown);
  CHECK(timed_out.error().m_code == ResultCode::kDeadlineExceeded);
  call.m_url = "http://127.0.0.1:1";
  const Result<HttpAnswer> refused = client.Call(call);
  REQUIRE_FALSE(refused.has_value());
  CHECK(refused.error().m_run == RunState::kNotRun);
}

TEST_CASE("a cancelled call fails immediately with kCancelled") {
  NetAddress bound;
  const Result<int> fd = ListenTcp({"127.0.0.1", 0}, bound);
  REQUIRE(fd.has_value());
  CancelToken cancel;
  cancel.Cancel();
  HttpCall call;
  call.m_url = "http://" + bound.ToString();
  call.m_cancel = &cancel;
  HttpClient client;
  const Result<HttpAnswer> response = client.Call(call);
  REQUIRE_FALSE(response.has_value());
  CHECK(response.error().m_code == ResultCode::kCancelled);
}

}  // namespace bronzecross
