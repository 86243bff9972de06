#include "ctl_options.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace bronzecross {
namespace {

constexpr const char* kUsage =
    "[OPTION...] COMMAND\n"
    "\n"
    "Commands:\n"
    "  check MANIFEST           check a manifest\n"
    "  diff MANIFEST            show what publishing it would change\n"
    "  publish MANIFEST         put it in force\n"
    "  show                     print the manifest in force as JSON\n"
    "  hash-key KEY             print the SHA-256 that a manifest names\n"
    "  withdraw-key ID          withdraw one key\n"
    "  status                   show each VM and the generation it follows\n"
    "  trace ID LOG...          print the log lines that name a request, job,\n"
    "                           item, upstream or VM, in the order of time\n";

}  // namespace

CtlOptions ParseCtlOptions(int argc, const char** argv) {
  CtlOptions out;
  char* store = nullptr;
  char* prefix = nullptr;
  int version = 0;
  const poptOption options[] = {
      {"store", 's', POPT_ARG_STRING, &store, 0, "URL of the key-value service",
       "URL"},
      {"prefix", 'p', POPT_ARG_STRING, &prefix, 0, "prefix of all keys",
       "PREFIX"},
      {"expect-generation", 'g', POPT_ARG_LONG, &out.m_expect_generation, 0,
       "publish only if this generation is in force", "N"},
      {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version and exit",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("bronzecrossctl", argc, argv, options, 0),
      &poptFreeContext);
  poptSetOtherOptionHelp(context.get(), kUsage);
  const int rc = poptGetNextOpt(context.get());
  if (rc < -1) {
    std::fprintf(stderr, "bronzecrossctl: %s: %s\n",
                 poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                 poptStrerror(rc));
    std::exit(2);
  }
  if (store != nullptr) {
    out.m_store = store;
  }
  if (prefix != nullptr) {
    out.m_prefix = prefix;
  }
  std::free(store);
  std::free(prefix);
  out.m_version = version != 0;
  while (const char* argument = poptGetArg(context.get())) {
    out.m_arguments.emplace_back(argument);
  }
  return out;
}

}  // namespace bronzecross
