#include "promises/job_load.h"

#include <map>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include "base/random.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr int64_t kTokens = 6;
constexpr Millis kPause{500};
constexpr Millis kRetryPause{100};
constexpr Millis kTimeout{6000};
constexpr Millis kJobEnd{60'000};

std::string JobInput(const std::string& prefix, int items) {
  std::string lines;
  for (int i = 0; i < items; ++i) {
    lines += json{{"custom_id", absl::StrCat("item-", i)},
                  {"method", "POST"},
                  {"url", "/v1/chat/completions"},
                  {"body",
                   {{"model", "m"},
                    {"max_tokens", kTokens},
                    {"messages",
                     {{{"role", "user"},
                       {"content", absl::StrCat(prefix, " ", i)}}}}}}}
                 .dump() +
             "\n";
  }
  return lines;
}

json Send(Cluster& cluster,
          int vm,
          std::string_view method,
          const std::string& path,
          const std::string& body,
          const std::string& idempotency_key) {
  std::vector<HttpHeader> headers;
  if (!idempotency_key.empty()) {
    headers.push_back({"Idempotency-Key", idempotency_key});
  }
  const Result<HttpAnswer> answer =
      cluster.Caller().Call(method, cluster.Url(vm) + path, Cluster::Key(0),
                            body, std::move(headers), kTimeout);
  if (!answer || answer->m_status != 200) {
    return nullptr;
  }
  json parsed = json::parse(answer->m_body, nullptr, false);
  return parsed.is_object() ? parsed : json(nullptr);
}

// Sends a call through random VMs until it succeeds or the load stops.
json SendUntilDone(const JobLoad& load,
                   Random& random,
                   const std::string& path,
                   const std::string& body,
                   const std::string& idempotency_key) {
  while (!load.m_stopping) {
    const int vm = static_cast<int>(
        RandomBelow(random, static_cast<uint64_t>(load.m_cluster.VmCount())));
    json answer = Send(load.m_cluster, vm, "POST", path, body, idempotency_key);
    load.m_history.AddRequest();
    if (answer.is_object() && answer.contains("id")) {
      return answer;
    }
    SleepFor(kRetryPause);
  }
  return nullptr;
}

// The output lines by custom_id, with the number of lines of each.
std::map<std::string, std::pair<int, json>> ReadOutput(Cluster& cluster,
                                                       const json& state) {
  std::map<std::string, std::pair<int, json>> lines;
  for (const char* field : {"output_file_id", "error_file_id"}) {
    const json id = state.value(field, json());
    if (!id.is_string()) {
      continue;
    }
    const Result<HttpAnswer> output =
        cluster.Caller().Call("GET",
                              absl::StrCat(cluster.Url(0), "/v1/files/",
                                           id.get<std::string>(), "/content"),
                              Cluster::Key(0));
    if (!output || output->m_status != 200) {
      continue;
    }
    for (const absl::string_view text :
         absl::StrSplit(output->m_body, '\n', absl::SkipEmpty())) {
      json line = json::parse(text, nullptr, false);
      std::pair<int, json>& entry =
          lines[line.is_object() ? line.value("custom_id", "") : ""];
      ++entry.first;
      entry.second = std::move(line);
    }
  }
  return lines;
}

bool IsRightAnswer(const json& line, const std::string& prompt) {
  const json response = line.value("response", json());
  if (!response.is_object() || response.value("status_code", 0) != 200) {
    return false;
  }
  return response["body"]["choices"][0]["message"].value("content", "") ==
         EngineAnswer(prompt, kTokens);
}

void CheckJob(Cluster& cluster, History& history, const SubmittedJob& job) {
  json state;
  const bool ended = WaitFor(
      [&] {
        state = Send(cluster, 0, "GET", "/v1/batches/" + job.m_id, "", "");
        const std::string status =
            state.is_object() ? state.value("status", "") : "";
        return status == "completed" || status == "cancelled" ||
               status == "failed" || status == "expired";
      },
      kJobEnd);
  if (!ended) {
    history.AddViolation(
        absl::StrCat("job ", job.m_id, " does not end: ", state.dump()));
    return;
  }
  const std::string status = state.value("status", "");
  if (status != "completed" && !(job.m_cancelled && status == "cancelled")) {
    history.AddViolation(absl::StrCat("job ", job.m_id, " ended as ", status));
  }
  const std::map<std::string, std::pair<int, json>> lines =
      ReadOutput(cluster, state);
  for (int i = 0; i < job.m_items; ++i) {
    const std::string id = absl::StrCat("item-", i);
    const auto line = lines.find(id);
    if (line == lines.end()) {
      if (!job.m_cancelled) {
        history.AddViolation(absl::StrCat("job ", job.m_id, " lost ", id));
      }
      continue;
    }
    if (line->second.first > 1) {
      history.AddViolation(absl::StrCat("job ", job.m_id, " has ", id, " ",
                                        line->second.first, " times"));
    }
    if (!IsRightAnswer(line->second.second,
                       absl::StrCat(job.m_prefix, " ", i)) &&
        !job.m_cancelled) {
      history.AddViolation(absl::StrCat("job ", job.m_id, " has a wrong ", id,
                                        ": ", line->second.second.dump()));
    }
  }
  history.AddItems(static_cast<int64_t>(lines.size()));
}

}  // namespace

std::vector<SubmittedJob> RunJobCaller(const JobLoad& load) {
  Random random(load.m_seed);
  std::vector<SubmittedJob> jobs;
  for (int i = 0; !load.m_stopping; ++i) {
    SubmittedJob job;
    job.m_prefix = absl::StrCat("job ", load.m_seed, " ", i);
    job.m_items = load.m_items;
    const json file = SendUntilDone(load, random, "/v1/files",
                                    JobInput(job.m_prefix, job.m_items), "");
    if (file.is_null()) {
      break;
    }
    const std::string body = json{
        {"input_file_id", file["id"]},
        {"endpoint", "/v1/chat/completions"},
        {"completion_window",
         "24h"}}.dump();
    const json first =
        SendUntilDone(load, random, "/v1/batches", body, job.m_prefix);
    if (first.is_null()) {
      break;
    }
    job.m_id = first["id"];
    const json again =
        SendUntilDone(load, random, "/v1/batches", body, job.m_prefix);
    if (again.is_object() && again["id"] != job.m_id) {
      load.m_history.AddViolation("a resent job became a second one");
    }
    if (RandomBelow(random, 5) == 0) {
      job.m_cancelled = true;
      SendUntilDone(load, random, "/v1/batches/" + job.m_id + "/cancel", "",
                    "");
    }
    jobs.push_back(job);
    SleepFor(kPause);
  }
  return jobs;
}

void CheckJobs(Cluster& cluster,
               History& history,
               const std::vector<SubmittedJob>& jobs) {
  for (const SubmittedJob& job : jobs) {
    CheckJob(cluster, history, job);
  }
}

}  // namespace bronzecross
