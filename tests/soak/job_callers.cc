#include "soak/job_callers.h"

#include <set>

#include <nlohmann/json.hpp>

#include "base/random.h"
#include "base/text.h"
#include "standins/platform_caller.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr int64_t kDeadlineMs = 4'000;
constexpr Millis kCallTimeout{6'000};
constexpr int kMostAttempts = 6;

// One job in so many is ended by its caller.
constexpr uint64_t kEndOneIn = 5;

struct Reply {
  CallEnd m_end = CallEnd::kNotSent;
  SoakAnswer m_answer;
};

// A call on a new connection to `vm`.
Reply CallVm(SoakWorld& world, int vm, SoakRequest request, std::string id) {
  for (HttpHeader& field : PlatformCallerFields(id, "key-b", kDeadlineMs)) {
    request.m_fields.push_back(std::move(field));
  }
  KeptConnection connection(
      world.m_cluster.CallerAddress(static_cast<size_t>(vm)));
  Reply reply;
  reply.m_end = connection.Call(request, kCallTimeout, reply.m_answer);
  return reply;
}

int DrawVm(const SoakWorld& world, Random& random) {
  return static_cast<int>(
      RandomBelow(random, static_cast<uint64_t>(world.m_options.m_vms)));
}

void Submit(SoakWorld& world, SoakJob& job, Random& random) {
  for (int i = 0; i < kMostAttempts && !job.m_accepted; ++i) {
    SoakRequest request;
    request.m_target = "/batch/jobs";
    request.m_body = PlatformJobBody(job.m_id, job.m_items);
    const Reply reply =
        CallVm(world, DrawVm(world, random), std::move(request), job.m_id);
    const int status = reply.m_answer.m_status;
    job.m_accepted = status == 202;
    const bool is_promise = status == 429 || status == 503;
    job.m_may_exist =
        job.m_may_exist || (reply.m_end != CallEnd::kNotSent && !is_promise);
    SleepFor(Millis(job.m_accepted ? 0 : 300));
  }
}

std::string WholeOutput(const std::string& item) {
  std::string output;
  for (int i = 1; i <= kSoakEvents; ++i) {
    AppendTo(output, i == 1 ? "" : "\n",
             PlatformReplicaStandin::EventData(item, i));
  }
  return output;
}

// Reads all results at `vm`. Returns whether a page came, and in `is_done`
// whether it holds all of them. Results that were seen before must be the same.
bool ReadResults(SoakWorld& world, int vm, SoakJob& job, bool& is_done) {
  SoakRequest request;
  request.m_method = "GET";
  request.m_target = PlatformResultsPath(job.m_id);
  request.m_fields = {PlatformPollWait(Millis(200))};
  const Reply reply = CallVm(world, vm, std::move(request), "");
  if (reply.m_end != CallEnd::kAnswered || reply.m_answer.m_status != 200) {
    if (reply.m_answer.m_status == 404) {
      world.m_log.AddViolation(
          Concat("vm-", vm, " doesn't know the accepted job ", job.m_id));
    }
    return false;
  }
  const json page = json::parse(reply.m_answer.m_body, nullptr, false);
  if (!page.is_object() || page.value("total", -1) != job.m_items) {
    world.m_log.AddViolation(Concat("job ", job.m_id, " has another total"));
    return false;
  }
  size_t position = 0;
  for (const json& result : page["results"]) {
    const std::string text = result.dump();
    if (position < job.m_seen.size() && job.m_seen[position] != text) {
      world.m_log.AddViolation(Concat("position ", position, " of ", job.m_id,
                                      " holds another result than before"));
    } else if (position == job.m_seen.size()) {
      job.m_seen.push_back(text);
    }
    ++position;
  }
  is_done = static_cast<int>(position) == job.m_items;
  return true;
}

// Ends the job at any VM that acknowledges it.
void End(SoakWorld& world, SoakJob& job, Random& random) {
  job.m_end_asked = true;
  for (int i = 0; i < kMostAttempts; ++i) {
    SoakRequest request;
    request.m_method = "DELETE";
    request.m_target = PlatformJobPath(job.m_id);
    const Reply reply =
        CallVm(world, DrawVm(world, random), std::move(request), "");
    if (reply.m_answer.m_status == 200) {
      job.m_end_acknowledged = MonotonicNow();
      return;
    }
    SleepFor(Millis(300));
  }
}

}  // namespace

std::vector<SoakJob> RunJobCaller(SoakWorld& world, int caller) {
  Random random(world.m_options.m_seed * 2'000 + static_cast<uint64_t>(caller));
  std::vector<SoakJob> jobs;
  for (int i = 0; !world.m_stopping; ++i) {
    SoakJob job;
    job.m_id = Concat("j", caller, "-", i);
    job.m_items = 2 + static_cast<int>(RandomBelow(random, 10));
    Submit(world, job, random);
    if (job.m_accepted && RandomBelow(random, kEndOneIn) == 0) {
      SleepFor(Millis(static_cast<int64_t>(RandomBelow(random, 300))));
      End(world, job, random);
    }
    for (int read = 0; job.m_accepted && read < 3; ++read) {
      // Other VMs are sure of a job a second after its acceptance.
      SleepFor(Millis(read == 0 ? 1'000 : 200));
      bool is_done = false;
      ReadResults(world, DrawVm(world, random), job, is_done);
    }
    jobs.push_back(std::move(job));
  }
  return jobs;
}

void CheckJobEnds(SoakWorld& world, const SoakJob& job, Millis limit) {
  if (!job.m_accepted) {
    return;
  }
  Random random(world.m_options.m_seed);
  SoakJob read = job;
  const Millis until = MonotonicNow() + limit;
  bool is_done = false;
  bool is_read = false;
  while (MonotonicNow() < until && !is_done) {
    is_read = ReadResults(world, DrawVm(world, random), read, is_done);
    if (is_read && job.m_end_asked) {
      return;
    }
  }
  if (!is_done) {
    world.m_log.AddViolation(Concat("job ", job.m_id, " has ",
                                    read.m_seen.size(), " of ", job.m_items,
                                    " results after the faults"));
    return;
  }
  std::set<std::string> items;
  for (const std::string& text : read.m_seen) {
    const json result = json::parse(text);
    const std::string item = result["id"].get<std::string>();
    if (!items.insert(item).second) {
      world.m_log.AddViolation(Concat("item ", item, " is listed twice"));
    }
    if (result["state"] != "completed" ||
        result["output"] != WholeOutput(item)) {
      world.m_log.AddViolation(Concat("item ", item, " isn't whole: ", text));
    }
  }
}

}  // namespace bronzecross
