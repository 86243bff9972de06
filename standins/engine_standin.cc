#include "standins/engine_standin.h"

#include <algorithm>
#include <thread>

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include "base/hash.h"
#include "http/http_error_reply.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr int64_t kDefaultTokens = 16;
constexpr Millis kHangUpPoll{20};
// Prompts share a cached prefix if they agree in this many first bytes.
constexpr size_t kPrefixBytes = 64;

// The text of all messages, or of the prompt.
std::string PromptOf(const json& body) {
  if (body.contains("prompt") && body["prompt"].is_string()) {
    return body["prompt"];
  }
  std::string prompt;
  for (const json& message : body.value("messages", json::array())) {
    if (message.value("role", "") != "assistant") {
      prompt += message.value("content", "");
    }
  }
  return prompt;
}

// The number of tokens that a request to continue already has.
int64_t TokensSoFar(const json& body) {
  const json messages = body.value("messages", json::array());
  if (!body.value("continue_final_message", false) || messages.empty()) {
    return 0;
  }
  const std::string text = messages.back().value("content", "");
  return std::count(text.begin(), text.end(), ' ');
}

json Chunk(const std::string& id,
           const std::string& model,
           const std::string& text,
           bool last) {
  return {{"id", id},
          {"object", "chat.completion.chunk"},
          {"model", model},
          {"choices",
           {{{"index", 0},
             {"delta", {{"content", text}}},
             {"finish_reason", last ? json("length") : json(nullptr)}}}}};
}

}  // namespace

std::string EngineToken(std::string_view prompt, int64_t index) {
  return absl::StrCat(
      Hex64(Hash64(prompt, static_cast<uint64_t>(index))).substr(0, 6), " ");
}

std::string EngineAnswer(std::string_view prompt, int64_t count) {
  std::string answer;
  for (int64_t i = 0; i < count; ++i) {
    answer += EngineToken(prompt, i);
  }
  return answer;
}

EngineStandin::EngineStandin(EngineOptions options)
    : m_options(std::move(options)),
      m_version(m_options.m_version),
      m_server([this](HttpRequest& request) { return Handle(request); }) {
  m_server.Start();
  m_crash_thread = std::thread([this] {
    while (true) {
      {
        absl::MutexLock lock(&m_mutex);
        const auto wake = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
          return m_crash || m_stopping;
        };
        m_mutex.Await(absl::Condition(&wake));
        if (m_stopping) {
          return;
        }
      }
      // The server's threads see m_crash and end; a server can't be stopped
      // from one of its own threads.
      m_server.Stop();
      absl::MutexLock lock(&m_mutex);
      m_crash = false;
    }
  });
}

EngineStandin::~EngineStandin() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  m_crash_thread.join();
  m_server.Stop();
}

void EngineStandin::Restart() {
  {
    absl::MutexLock lock(&m_mutex);
    m_running = 0;
    m_waiting = 0;
    m_prefixes.clear();
  }
  m_server.Start();
}

void EngineStandin::SetSlowdown(int factor) {
  absl::MutexLock lock(&m_mutex);
  m_slowdown = factor;
}

void EngineStandin::FailNext(int count, int status, int retry_after_s) {
  absl::MutexLock lock(&m_mutex);
  m_fail_count = count;
  m_fail_status = status;
  m_fail_retry_after_s = retry_after_s;
}

void EngineStandin::SetQuota(int per_second) {
  absl::MutexLock lock(&m_mutex);
  m_quota = per_second;
}

int64_t EngineStandin::Refused() {
  absl::MutexLock lock(&m_mutex);
  return m_turned_away;
}

std::optional<HttpReply> EngineStandin::RefuseCompletion() {
  absl::MutexLock lock(&m_mutex);
  int status = 0;
  int retry_after_s = 0;
  const Millis now = MonotonicNow();
  if (now - m_quota_start >= Millis(1000)) {
    m_quota_start = now;
    m_quota_used = 0;
  }
  if (m_fail_count > 0) {
    --m_fail_count;
    status = m_fail_status;
    retry_after_s = m_fail_retry_after_s;
  } else if (m_quota > 0 && ++m_quota_used > m_quota) {
    status = 429;
    retry_after_s = 1;
  } else {
    return std::nullopt;
  }
  ++m_turned_away;
  HttpReply reply = JsonReply(status, R"({"error":{"message":"refused"}})");
  if (retry_after_s > 0) {
    reply.m_headers.push_back({"Retry-After", std::to_string(retry_after_s)});
  }
  return reply;
}

std::map<std::string, int> EngineStandin::FinishedByPrompt() {
  absl::MutexLock lock(&m_mutex);
  return m_finished;
}

int64_t EngineStandin::Started() {
  absl::MutexLock lock(&m_mutex);
  return m_started;
}

int64_t EngineStandin::Finished() {
  absl::MutexLock lock(&m_mutex);
  int64_t sum = 0;
  for (const auto& [prompt, count] : m_finished) {
    sum += count;
  }
  return sum;
}

int64_t EngineStandin::Cancelled() {
  absl::MutexLock lock(&m_mutex);
  return m_cancelled;
}

int64_t EngineStandin::Running() {
  absl::MutexLock lock(&m_mutex);
  return m_running + m_waiting;
}

int64_t EngineStandin::PrefixHits() {
  absl::MutexLock lock(&m_mutex);
  return m_prefix_hits;
}

int64_t EngineStandin::PeakLoad() {
  absl::MutexLock lock(&m_mutex);
  return m_peak;
}

std::string EngineStandin::Version() {
  absl::MutexLock lock(&m_mutex);
  return m_version;
}

bool EngineStandin::IsLoading() {
  absl::MutexLock lock(&m_mutex);
  return MonotonicNow() < m_loading_until;
}

int64_t EngineStandin::RefusedWhileLoading() {
  absl::MutexLock lock(&m_mutex);
  return m_refused;
}

std::map<std::string, Millis> EngineStandin::LastRequestByVm() {
  absl::MutexLock lock(&m_mutex);
  return m_last_by_vm;
}

std::vector<EngineStandin::Order> EngineStandin::Orders() {
  absl::MutexLock lock(&m_mutex);
  return m_orders;
}

HttpReply EngineStandin::Handle(HttpRequest& request) {
  if (request.m_path == "/metrics") {
    return Report();
  }
  if (request.m_path == "/health") {
    return JsonReply(200, "{}");
  }
  if (request.m_path == "/orders") {
    return request.m_method == "POST" ? TakeOrder(request) : ReportOrders();
  }
  if (request.m_path == "/v1/models") {
    json models = json::array();
    for (const std::string& model : m_options.m_models) {
      models.push_back({{"id", model}, {"object", "model"}});
    }
    return JsonReply(200, json{{"object", "list"}, {"data", models}}.dump());
  }
  if (request.m_path == "/v1/chat/completions" ||
      request.m_path == "/v1/completions") {
    return Complete(request);
  }
  return JsonReply(404, R"({"error":{"message":"no such path"}})");
}

HttpReply EngineStandin::Report() {
  absl::MutexLock lock(&m_mutex);
  const Millis now = MonotonicNow();
  if (now - m_sampled_at >= m_options.m_report_lag) {
    m_sampled_at = now;
    m_sampled_running = m_running;
    m_sampled_waiting = m_waiting;
  }
  HttpReply reply;
  reply.m_headers.push_back({"Content-Type", "text/plain"});
  reply.m_body = absl::StrCat(
      "# TYPE vllm:num_requests_running gauge\n"
      "vllm:num_requests_running{model_name=\"m\"} ",
      m_sampled_running,
      "\n# TYPE vllm:num_requests_waiting gauge\n"
      "vllm:num_requests_waiting{model_name=\"m\"} ",
      m_sampled_waiting, "\n");
  return reply;
}

HttpReply EngineStandin::TakeOrder(const HttpRequest& request) {
  const json body = json::parse(request.m_body, nullptr, false);
  if (body.is_discarded() || !body.is_object()) {
    return JsonReply(400, R"({"error":{"message":"not JSON"}})");
  }
  absl::MutexLock lock(&m_mutex);
  Order& order = m_orders.emplace_back();
  order.m_fencing_token = body.value("fencing_token", int64_t{0});
  order.m_issuer = body.value("issuer", "");
  order.m_at = MonotonicNow();
  order.m_accepted =
      !m_options.m_checks_fencing || order.m_fencing_token >= m_highest_token;
  m_highest_token = std::max(m_highest_token, order.m_fencing_token);
  order.m_action = body.value("action", "");
  if (order.m_accepted && order.m_action == "load") {
    m_version = body.value("version", "");
    m_loading_until = order.m_at + m_options.m_load_time;
  }
  return order.m_accepted
             ? JsonReply(200, "{}")
             : JsonReply(409, R"({"error":{"message":"old token"}})");
}

HttpReply EngineStandin::ReportOrders() {
  absl::MutexLock lock(&m_mutex);
  return JsonReply(200, json{{"model", m_options.m_models.front()},
                             {"version", m_version},
                             {"loading", MonotonicNow() < m_loading_until}}
                            .dump());
}

bool EngineStandin::Begin(int client_fd) {
  absl::MutexLock lock(&m_mutex);
  ++m_started;
  ++m_waiting;
  m_peak = std::max(m_peak, m_waiting + m_running);
  const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    return m_running < m_options.m_slots || m_crash || m_stopping;
  };
  while (!m_mutex.AwaitWithTimeout(absl::Condition(&ready),
                                   absl::Milliseconds(kHangUpPoll.count()))) {
    if (HasHungUp(client_fd)) {
      --m_waiting;
      ++m_cancelled;
      return false;
    }
  }
  --m_waiting;
  if (m_crash || m_stopping) {
    return false;
  }
  ++m_running;
  return true;
}

bool EngineStandin::Prefill(const std::string& prompt, int client_fd) {
  Millis left = m_options.m_prefill;
  {
    absl::MutexLock lock(&m_mutex);
    const uint64_t prefix = Hash64(prompt.substr(0, kPrefixBytes));
    const auto found = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
    if (found != m_prefixes.end()) {
      ++m_prefix_hits;
      m_prefixes.erase(found);
      left = m_options.m_cached_prefill;
    }
    m_prefixes.push_back(prefix);
    if (m_prefixes.size() > m_options.m_cached_prefixes) {
      m_prefixes.pop_front();
    }
    left = left * m_slowdown;
  }
  while (left > Millis(0)) {
    const Millis step = std::min(left, kHangUpPoll);
    SleepFor(step);
    left = left - step;
    if (HasHungUp(client_fd)) {
      return false;
    }
  }
  return true;
}

bool EngineStandin::WaitToken(int client_fd) {
  Millis interval = m_options.m_token_interval;
  {
    absl::MutexLock lock(&m_mutex);
    if (m_crash || m_stopping) {
      return false;
    }
    interval = interval * m_slowdown;
  }
  SleepFor(interval);
  return !HasHungUp(client_fd);
}

void EngineStandin::End(const std::string& prompt, bool whole) {
  absl::MutexLock lock(&m_mutex);
  m_running = std::max<int64_t>(0, m_running - 1);
  if (whole) {
    ++m_finished[prompt];
  } else {
    ++m_cancelled;
  }
}

HttpReply EngineStandin::Complete(const HttpRequest& request) {
  std::optional<HttpReply> refusal = RefuseCompletion();
  if (refusal) {
    return std::move(*refusal);
  }
  const json body = json::parse(request.m_body, nullptr, false);
  if (body.is_discarded() || !body.is_object()) {
    return JsonReply(400, R"({"error":{"message":"not JSON"}})");
  }
  const std::string model = body.value("model", "");
  if (std::find(m_options.m_models.begin(), m_options.m_models.end(), model) ==
      m_options.m_models.end()) {
    return JsonReply(404, R"({"error":{"message":"no such model"}})");
  }
  {
    absl::MutexLock lock(&m_mutex);
    const Millis now = MonotonicNow();
    m_last_by_vm[std::string(FindHeader(request.m_headers, "Via"))] = now;
    if (now < m_loading_until) {
      ++m_refused;
      HttpReply reply =
          JsonReply(503, R"({"error":{"message":"the model is loading"}})");
      reply.m_headers.push_back({"Retry-After", "1"});
      return reply;
    }
  }
  const std::string prompt = PromptOf(body);
  if (prompt.find(kCrashMark) != std::string::npos) {
    absl::MutexLock lock(&m_mutex);
    m_crash = true;
  }
  const int64_t count = body.value("max_tokens", kDefaultTokens);
  const int64_t first = TokensSoFar(body);
  const int fd = request.m_client_fd;
  const std::string id = "chatcmpl-" + Hex64(Hash64(prompt));
  HttpReply cut;
  cut.m_reader = [](std::span<char>) -> Result<size_t> {
    return Fail(ResultCode::kStreamCut, "cut");
  };
  if (!Begin(fd)) {
    return cut;
  }
  if (!Prefill(prompt, fd)) {
    End(prompt, false);
    return cut;
  }
  if (!body.value("stream", false)) {
    for (int64_t i = first; i < count; ++i) {
      if (!WaitToken(fd)) {
        End(prompt, false);
        return cut;
      }
    }
    End(prompt, true);
    std::string text;
    for (int64_t i = first; i < count; ++i) {
      text += EngineToken(prompt, i);
    }
    return JsonReply(
        200, json{{"id", id},
                  {"object", "chat.completion"},
                  {"model", model},
                  {"choices",
                   {{{"index", 0},
                     {"message", {{"role", "assistant"}, {"content", text}}},
                     {"finish_reason", "length"}}}},
                  {"usage",
                   {{"prompt_tokens", prompt.size() / 4},
                    {"completion_tokens", count - first},
                    {"total_tokens", prompt.size() / 4 + count - first}}}}
                 .dump());
  }
  // Ends the request also when the server drops the reader in mid-stream.
  struct Guard {
    ~Guard() { m_engine.End(m_prompt, m_whole); }
    EngineStandin& m_engine;
    std::string m_prompt;
    bool m_whole = false;
  };
  const std::shared_ptr<Guard> guard =
      std::shared_ptr<Guard>(new Guard{*this, prompt});
  HttpReply reply;
  reply.m_headers.push_back({"Content-Type", "text/event-stream"});
  reply.m_reader = [this, guard, id, model, prompt, count, fd, next = first,
                    pending = std::string(), done = false](
                       std::span<char> buffer) mutable -> Result<size_t> {
    if (pending.empty()) {
      if (done) {
        return 0;
      }
      if (next < count) {
        if (!WaitToken(fd)) {
          return Fail(ResultCode::kStreamCut, "cut");
        }
        const std::string text = EngineToken(prompt, next);
        ++next;
        pending =
            "data: " + Chunk(id, model, text, next == count).dump() + "\n\n";
      } else {
        pending = "data: [DONE]\n\n";
        done = true;
        guard->m_whole = true;
      }
    }
    const size_t size = std::min(buffer.size(), pending.size());
    std::copy_n(pending.begin(), size, buffer.begin());
    pending.erase(0, size);
    return size;
  };
  return reply;
}

}  // namespace bronzecross
