#include "soak/online_callers.h"

#include <array>

#include "base/random.h"
#include "base/text.h"
#include "standins/platform_caller.h"

namespace bronzecross {
namespace {

constexpr int64_t kDeadlineMs = 4'000;
constexpr Millis kCallTimeout{6'000};

// Pause of a caller between its requests.
constexpr uint64_t kMostPauseMs = 120;

// One request in so many brings an old key, or one that never existed.
constexpr uint64_t kOldKeyOneIn = 20;
constexpr uint64_t kUnknownKeyOneIn = 40;

struct UsePath {
  RouteUse m_use;
  std::string_view m_target;
};
constexpr std::array<UsePath, 4> kPaths = {{
    {RouteUse::kPlain, "/plain/x"},
    {RouteUse::kOnce, "/once/x"},
    {RouteUse::kStream, "/stream/x"},
    {RouteUse::kResume, "/resume/stream"},
}};

std::string ExpectedBody(RouteUse use, const std::string& id) {
  if (use == RouteUse::kPlain || use == RouteUse::kOnce) {
    return PlatformReplicaStandin::PlainBody(id);
  }
  std::string body;
  for (int i = 1; i <= kSoakEvents; ++i) {
    AppendTo(body, "id: ", i,
             "\ndata: ", PlatformReplicaStandin::EventData(id, i), "\n\n");
  }
  return body;
}

std::string DrawKey(const SoakLog& log, Random& random) {
  if (RandomBelow(random, kUnknownKeyOneIn) == 0) {
    return "key-unknown";
  }
  const std::vector<KeyChange> keys = log.Keys();
  if (keys.size() > 1 && RandomBelow(random, kOldKeyOneIn) == 0) {
    return keys[RandomBelow(random, keys.size() - 1)].m_key;
  }
  return RandomBelow(random, 2) == 0 ? "key-b" : keys.back().m_key;
}

void CheckAnswer(SoakLog& log, const SoakCall& call, const SoakAnswer& answer) {
  if (answer.m_status != 200) {
    return;
  }
  if (answer.m_body != ExpectedBody(call.m_use, call.m_id)) {
    log.AddViolation(Concat("request ", call.m_id, " at vm-", call.m_vm,
                            " got another body: ", answer.m_body));
  }
  if (PlatformReplicaStandin::SignatureOf(answer.m_fields).empty()) {
    log.AddViolation(
        Concat("request ", call.m_id, " got an answer without signature"));
  }
}

SoakCall CallOnce(SoakWorld& world,
                  KeptConnection& connection,
                  SoakCall call,
                  std::string_view target) {
  SoakRequest request;
  request.m_target = target;
  request.m_fields = PlatformCallerFields(call.m_id, call.m_key, kDeadlineMs);
  request.m_body = "question";
  SoakAnswer answer;
  call.m_sent = MonotonicNow();
  call.m_end = connection.Call(request, kCallTimeout, answer);
  call.m_ended = MonotonicNow();
  call.m_status = answer.m_status;
  if (call.m_end == CallEnd::kAnswered) {
    CheckAnswer(world.m_log, call, answer);
  }
  world.m_log.AddCall(call);
  return call;
}

}  // namespace

void RunOnlineCaller(SoakWorld& world, int caller) {
  Random random(world.m_options.m_seed * 1'000 + static_cast<uint64_t>(caller));
  const int vms = world.m_options.m_vms;
  int vm = caller % vms;
  std::unique_ptr<KeptConnection> connection = std::make_unique<KeptConnection>(
      world.m_cluster.CallerAddress(static_cast<size_t>(vm)));
  for (int i = 0; !world.m_stopping; ++i) {
    const UsePath& path = kPaths[RandomBelow(random, kPaths.size())];
    SoakCall call;
    call.m_id = Concat("c", caller, "-", i);
    call.m_vm = vm;
    call.m_use = path.m_use;
    call.m_key = DrawKey(world.m_log, random);
    call = CallOnce(world, *connection, std::move(call), path.m_target);
    if (call.m_end != CallEnd::kAnswered) {
      vm = static_cast<int>(RandomBelow(random, static_cast<uint64_t>(vms)));
      connection = std::make_unique<KeptConnection>(
          world.m_cluster.CallerAddress(static_cast<size_t>(vm)));
    }
    SleepFor(Millis(static_cast<int64_t>(RandomBelow(random, kMostPauseMs))));
  }
}

void CheckAllServe(SoakWorld& world, Millis limit) {
  const Millis until = MonotonicNow() + limit;
  for (int vm = 0; vm < world.m_options.m_vms; ++vm) {
    KeptConnection connection(
        world.m_cluster.CallerAddress(static_cast<size_t>(vm)));
    bool served = false;
    for (int i = 0; !served && MonotonicNow() < until; ++i) {
      SoakCall call;
      call.m_id = Concat("last", vm, "-", i);
      call.m_vm = vm;
      call.m_key = "key-b";
      served = CallOnce(world, connection, std::move(call), kPaths[0].m_target)
                   .m_status == 200;
      SleepFor(Millis(served ? 0 : 50));
    }
    if (!served) {
      world.m_log.AddViolation(
          Concat("vm-", vm, " doesn't serve after the faults"));
    }
  }
}

}  // namespace bronzecross
