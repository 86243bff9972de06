// Stand-in for a model engine with the OpenAI API: continuous batching over a
// number of slots, a prefix cache, streams, cancel on hang-up, a load report
// that lags, orders with or without a fencing check, and a crash on a marked
// request.

#ifndef BRONZECROSS_STANDINS_ENGINE_STANDIN_H_
#define BRONZECROSS_STANDINS_ENGINE_STANDIN_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include "standins/standin_server.h"

namespace bronzecross {

struct EngineOptions {
  std::string m_name = "engine";
  std::vector<std::string> m_models = {"m"};
  int m_slots = 8;
  // Time to the first token without and with a cached prefix, and between
  // tokens.
  Millis m_prefill{10};
  Millis m_cached_prefill{2};
  Millis m_token_interval{2};
  Millis m_report_lag{500};
  size_t m_cached_prefixes = 64;
  bool m_checks_fencing = true;
  // The version that is loaded at the start, and the time that a load takes.
  // While loading the engine answers 503.
  std::string m_version = "v1";
  Millis m_load_time{300};
};

// A prompt with this text makes the engine crash.
inline constexpr std::string_view kCrashMark = "CRASH-THE-ENGINE";

// The text of token `index` of the answer to `prompt`. A function of the
// prompt, so that a crossed, cut or repeated answer is found.
std::string EngineToken(std::string_view prompt, int64_t index);

// The whole answer of `count` tokens.
std::string EngineAnswer(std::string_view prompt, int64_t count);

class EngineStandin {
 public:
  struct Order {
    int64_t m_fencing_token = 0;
    std::string m_issuer;
    std::string m_action;
    bool m_accepted = false;
    Millis m_at;
  };

  explicit EngineStandin(EngineOptions options);
  ~EngineStandin();

  std::string Url() const { return m_server.Url(); }
  void Crash() { m_server.Stop(); }
  void Restart();
  bool IsRunning() const { return m_server.IsRunning(); }
  // Slows the engine down by `factor` without any sign in its load report.
  void SetSlowdown(int factor);
  // Answers the next `count` completions with `status` without running them,
  // with a Retry-After of `retry_after_s` if that is positive.
  void FailNext(int count, int status, int retry_after_s = 0);
  // Answers completions beyond `per_second` with 429 and a Retry-After of 1 s,
  // as a provider with a quota per second does; 0: no quota.
  void SetQuota(int per_second);
  int64_t Refused();

  // Finished requests by prompt.
  std::map<std::string, int> FinishedByPrompt();
  int64_t Started();
  int64_t Finished();
  int64_t Cancelled();
  int64_t Running();
  int64_t PrefixHits();
  // Largest number of batch or online requests held at once.
  int64_t PeakLoad();
  std::vector<Order> Orders();
  std::string Version();
  bool IsLoading();
  // Requests answered 503 because of a load.
  int64_t RefusedWhileLoading();
  // When the last request that came through each VM began, by the Via header.
  std::map<std::string, Millis> LastRequestByVm();

 private:
  HttpReply Handle(HttpRequest& request);
  HttpReply Complete(const HttpRequest& request);
  // The refusal that FailNext() or SetQuota() asks for, if any.
  std::optional<HttpReply> RefuseCompletion();
  HttpReply TakeOrder(const HttpRequest& request);
  HttpReply ReportOrders();
  HttpReply Report();
  // Waits for a slot. Returns false if the caller hung up.
  bool Begin(int client_fd);
  // Waits for the first token. Returns false if the caller hung up.
  bool Prefill(const std::string& prompt, int client_fd);
  bool WaitToken(int client_fd);
  void End(const std::string& prompt, bool whole);

  const EngineOptions m_options;
  absl::Mutex m_mutex;
  int m_slowdown ABSL_GUARDED_BY(m_mutex) = 1;
  int m_fail_count ABSL_GUARDED_BY(m_mutex) = 0;
  int m_fail_status ABSL_GUARDED_BY(m_mutex) = 500;
  int m_fail_retry_after_s ABSL_GUARDED_BY(m_mutex) = 0;
  int m_quota ABSL_GUARDED_BY(m_mutex) = 0;
  int m_quota_used ABSL_GUARDED_BY(m_mutex) = 0;
  Millis m_quota_start ABSL_GUARDED_BY(m_mutex);
  int64_t m_turned_away ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_running ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_waiting ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_started ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_cancelled ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_peak ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_prefix_hits ABSL_GUARDED_BY(m_mutex) = 0;
  std::map<std::string, int> m_finished ABSL_GUARDED_BY(m_mutex);
  std::deque<uint64_t> m_prefixes ABSL_GUARDED_BY(m_mutex);
  std::vector<Order> m_orders ABSL_GUARDED_BY(m_mutex);
  int64_t m_highest_token ABSL_GUARDED_BY(m_mutex) = 0;
  std::string m_version ABSL_GUARDED_BY(m_mutex);
  Millis m_loading_until ABSL_GUARDED_BY(m_mutex);
  int64_t m_refused ABSL_GUARDED_BY(m_mutex) = 0;
  std::map<std::string, Millis> m_last_by_vm ABSL_GUARDED_BY(m_mutex);
  // The load as it was at the last sample.
  int64_t m_sampled_running ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_sampled_waiting ABSL_GUARDED_BY(m_mutex) = 0;
  Millis m_sampled_at ABSL_GUARDED_BY(m_mutex);
  bool m_crash ABSL_GUARDED_BY(m_mutex) = false;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  StandinServer m_server;
  std::thread m_crash_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_STANDINS_ENGINE_STANDIN_H_
