// Runs soaks from the command line: one for each seed, until one breaks a
// promise or the seeds are used up.

#include <popt.h>

#include <cstdio>

#include "base/random.h"
#include "soak/soak.h"

namespace bronzecross {
namespace {

struct Arguments {
  long long m_seed = 0;
  int m_count = 1;
  int m_seconds = 12;
  int m_vms = 4;
  int m_engines = 4;
};

constexpr int kMostVms = 100;

int RunSoaks(const Arguments& arguments) {
  int failed = 0;
  for (int i = 0; i < arguments.m_count; ++i) {
    SoakOptions options;
    options.m_seed = arguments.m_seed == 0
                         ? RandomBelow(ThreadRandom(), 1'000'000'000) + 1
                         : static_cast<uint64_t>(arguments.m_seed + i);
    options.m_vms = arguments.m_vms;
    options.m_engines = arguments.m_engines;
    options.m_online_callers = 12 + 3 * arguments.m_vms;
    options.m_length = Millis(arguments.m_seconds * int64_t{1'000});
    options.m_prints = arguments.m_count == 1;
    const SoakReport report = RunSoak(options);
    std::printf(
        "soak seed=%llu vms=%d faults=%zu calls=%zu answered=%zu jobs=%zu "
        "violations=%zu\n",
        static_cast<unsigned long long>(options.m_seed), options.m_vms,
        report.m_faults, report.m_calls, report.m_answered, report.m_jobs,
        report.m_violations.size());
    std::fflush(stdout);
    failed += report.m_violations.empty() ? 0 : 1;
  }
  return failed == 0 ? 0 : 1;
}

int Main(int argc, const char** argv) {
  Arguments arguments;
  const poptOption options[] = {
      {"seed", 's', POPT_ARG_LONGLONG, &arguments.m_seed, 0,
       "first seed; 0: fresh ones", "N"},
      {"count", 'c', POPT_ARG_INT, &arguments.m_count, 0, "number of soaks",
       "N"},
      {"seconds", 't', POPT_ARG_INT, &arguments.m_seconds, 0,
       "length of the faults of each", "S"},
      {"vms", 'v', POPT_ARG_INT, &arguments.m_vms, 0, "gateway processes", "N"},
      {"engines", 'e', POPT_ARG_INT, &arguments.m_engines, 0, "upstreams", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  const poptContext context =
      poptGetContext("bx_soak_program", argc, argv, options, 0);
  const int code = poptGetNextOpt(context);
  if (code < -1 || arguments.m_vms < 1 || arguments.m_vms > kMostVms ||
      arguments.m_engines < 1 || arguments.m_seconds < 1 ||
      arguments.m_count < 1) {
    std::fprintf(
        stderr, "soak: %s; see --help\n",
        code < -1 ? poptStrerror(code) : "an argument is out of range");
    poptFreeContext(context);
    return 2;
  }
  poptFreeContext(context);
  return RunSoaks(arguments);
}

}  // namespace
}  // namespace bronzecross

int main(int argc, const char** argv) {
  return bronzecross::Main(argc, argv);
}
