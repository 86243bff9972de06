#include "promises/online_load.h"

#include <absl/strings/str_cat.h>

#include "base/random.h"

namespace bronzecross {
namespace {

constexpr Millis kKeyGrace{3000};
constexpr Millis kWatchInterval{100};
constexpr Millis kRequestTimeout{8000};

}  // namespace

void RunOnlineCaller(const OnlineLoad& load) {
  Random random(load.m_seed);
  for (int64_t i = 0; !load.m_stopping; ++i) {
    const int workspace = static_cast<int>(
        RandomBelow(random, static_cast<uint64_t>(load.m_workspaces)));
    ChatRequest request;
    request.m_url = load.m_cluster.Url(static_cast<int>(
        RandomBelow(random, static_cast<uint64_t>(load.m_cluster.VmCount()))));
    request.m_key = Cluster::Key(workspace);
    request.m_prompt = absl::StrCat("online ", load.m_seed, " ", i);
    request.m_stream = RandomBelow(random, 2) == 0;
    request.m_timeout = kRequestTimeout;
    const Millis sent = MonotonicNow();
    const Millis withdrawn_at =
        load.m_withdrawn.Get(static_cast<size_t>(workspace));
    const ChatOutcome outcome = load.m_cluster.Caller().Chat(request);
    load.m_history.AddRequest();
    if (outcome.m_status == 200) {
      load.m_history.AddAdmission(
          {absl::StrCat("ws-", workspace), sent, MonotonicNow()});
      // A stream that ends with an error event has status 200, no right text
      // and no closing event; the caller sees that it is not whole.
      if (!outcome.m_correct && outcome.m_whole) {
        load.m_history.AddViolation(
            absl::StrCat("wrong answer to \"", request.m_prompt, "\""));
      }
      if (withdrawn_at != Millis(0) && sent > withdrawn_at + kKeyGrace) {
        load.m_history.AddViolation(
            absl::StrCat("a key worked ", (sent - withdrawn_at).count(),
                         " ms after its withdrawal, at ", request.m_url));
      }
    }
    SleepFor(load.m_pause);
  }
}

void WatchGenerations(Cluster& cluster,
                      History& history,
                      const std::atomic<bool>& stopping) {
  std::vector<int64_t> highest(static_cast<size_t>(cluster.VmCount()), 0);
  while (!stopping) {
    for (int vm = 0; vm < cluster.VmCount(); ++vm) {
      const Result<HttpAnswer> answer = cluster.Caller().Call(
          "GET", cluster.AdminUrl(vm) + "/status", "", "", {}, Millis(300));
      const nlohmann::json status =
          answer ? nlohmann::json::parse(answer->m_body, nullptr, false)
                 : nlohmann::json();
      if (!status.is_object()) {
        continue;
      }
      const int64_t generation = status.value("generation", int64_t{0});
      int64_t& high = highest[static_cast<size_t>(vm)];
      // A VM that has just started holds no configuration yet and is not ready.
      if (generation != 0 && generation < high) {
        history.AddViolation(absl::StrCat(Cluster::VmId(vm),
                                          " went back from generation ", high,
                                          " to ", generation));
      }
      high = std::max(high, generation);
    }
    SleepFor(kWatchInterval);
  }
}

}  // namespace bronzecross
