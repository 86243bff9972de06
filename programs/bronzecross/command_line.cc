#include "command_line.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace bronzecross {

CommandLine ParseCommandLine(int argc, const char** argv) {
  char* settings = nullptr;
  char* role = nullptr;
  int check = 0;
  int version = 0;
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &settings, 0,
       "read the settings from FILE", "FILE"},
      {"role", 'r', POPT_ARG_STRING, &role, 0,
       "run as daemon (default), gateway or storage", "ROLE"},
      {"check", 'c', POPT_ARG_NONE, &check, 0, "check the settings and exit",
       nullptr},
      {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version and exit",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("bronzecross", argc, argv, options, 0), &poptFreeContext);
  const int rc = poptGetNextOpt(context.get());
  if (rc < -1) {
    std::fprintf(stderr, "bronzecross: %s: %s\n",
                 poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                 poptStrerror(rc));
    std::exit(2);
  }
  CommandLine line;
  line.m_check = check != 0;
  line.m_version = version != 0;
  line.m_settings_path = settings != nullptr ? settings : "";
  std::free(settings);
  const std::string role_name = role != nullptr ? role : "daemon";
  std::free(role);
  if (role_name == "gateway") {
    line.m_role = ProgramRole::kGateway;
  } else if (role_name == "storage") {
    line.m_role = ProgramRole::kStorage;
  } else if (role_name != "daemon") {
    std::fprintf(stderr, "bronzecross: unknown role \"%s\"\n",
                 role_name.c_str());
    std::exit(2);
  }
  const char* extra = poptGetArg(context.get());
  if (extra != nullptr) {
    std::fprintf(stderr, "bronzecross: unexpected argument \"%s\"\n", extra);
    std::exit(2);
  }
  if (line.m_settings_path.empty() && !line.m_version) {
    std::fprintf(stderr, "bronzecross: --settings FILE is needed\n");
    std::exit(2);
  }
  return line;
}

}  // namespace bronzecross
