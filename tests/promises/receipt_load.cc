#include "promises/receipt_load.h"

#include <absl/strings/str_cat.h>

#include "base/random.h"
#include "http/http_error_reply.h"

namespace bronzecross {
namespace {

constexpr Millis kTimeout{6000};
constexpr Millis kPause{30};
constexpr int kAttempts = 6;
constexpr int kFinalAttempts = 40;

Result<HttpAnswer> SendReceipt(Cluster& cluster,
                               int vm,
                               const std::string& body) {
  return cluster.Caller().Call(
      "POST", cluster.Url(vm) + "/desk/receipts", Cluster::Key(0), body,
      {{"Idempotency-Key", "key of " + body}}, kTimeout);
}

void Record(const Result<HttpAnswer>& answer, ReceiptFate& fate) {
  if (answer && answer->m_status == 200) {
    fate.m_answer = answer->m_body;
  }
  const bool not_run =
      answer && FindHeader(answer->m_headers, kRunHeader) == "not_run";
  // A connection that could not be made is as good as a refusal.
  const bool not_sent = !answer && answer.error().m_run == RunState::kNotRun;
  fate.m_only_not_run = fate.m_only_not_run && (not_run || not_sent);
}

}  // namespace

std::map<std::string, ReceiptFate> RunReceiptCaller(const ReceiptLoad& load) {
  Random random(load.m_seed);
  std::map<std::string, ReceiptFate> fates;
  for (int64_t i = 0; !load.m_stopping; ++i) {
    const std::string body = absl::StrCat("receipt ", load.m_seed, " ", i);
    ReceiptFate& fate = fates[body];
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      const int vm = static_cast<int>(
          RandomBelow(random, static_cast<uint64_t>(load.m_cluster.VmCount())));
      const std::string before = fate.m_answer;
      Record(SendReceipt(load.m_cluster, vm, body), fate);
      load.m_history.AddRequest();
      if (!before.empty() && before != fate.m_answer) {
        load.m_history.AddViolation(
            absl::StrCat("another answer on resending \"", body, "\""));
      }
      // Now and then a receipt is sent again although it was answered.
      if (load.m_stopping ||
          (!fate.m_answer.empty() && RandomBelow(random, 4) > 0)) {
        break;
      }
      SleepFor(kPause);
    }
    SleepFor(kPause);
  }
  return fates;
}

void CheckReceipts(Cluster& cluster,
                   History& history,
                   const std::map<std::string, ReceiptFate>& fates) {
  const std::map<std::string, int> before = cluster.Service(0).RunsByBody();
  for (const auto& [body, fate] : fates) {
    const auto ran = before.find(body);
    const int runs = ran == before.end() ? 0 : ran->second;
    if (runs > 1) {
      history.AddViolation(absl::StrCat("\"", body, "\" ran ", runs, " times"));
    }
    if (runs > 0 && fate.m_only_not_run) {
      history.AddViolation(
          absl::StrCat("\"", body, "\" ran but was refused as not run"));
    }
    if (fate.m_answer.empty()) {
      continue;
    }
    std::string last;
    bool same = false;
    for (int i = 0; i < kFinalAttempts && !same; ++i) {
      const Result<HttpAnswer> answer =
          SendReceipt(cluster, i % cluster.VmCount(), body);
      same =
          answer && answer->m_status == 200 && answer->m_body == fate.m_answer;
      last = answer ? answer->m_body : answer.error().m_message;
      if (!same) {
        SleepFor(Millis(200));
      }
    }
    if (!same) {
      history.AddViolation(
          absl::StrCat("the answer to \"", body, "\" is not readable: ", last));
    }
  }
}

}  // namespace bronzecross
