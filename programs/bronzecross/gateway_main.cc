#include "gateway_main.h"

#include <cstdio>

#include "base/log.h"
#include "drain_signal.h"
#include "gateway/gateway.h"

namespace bronzecross {

int RunGateway(const CommandLine& line) {
  const std::string path = line.m_settings_path;
  const Result<GatewaySettings> settings = LoadGatewaySettings(path);
  if (!settings) {
    std::fprintf(stderr, "%s\n", settings.error().m_message.c_str());
    return 2;
  }
  if (line.m_check) {
    std::printf("%s: ok\n", path.c_str());
    return 0;
  }
  InitBufferedLog(settings->m_log_level, settings->m_log_format);
  Gateway gateway(*settings, [path] { return LoadGatewaySettings(path); });
  const Status ended = gateway.Run();
  if (!ended) {
    LogError(Severity::kError, LogPart::kMain, "Cannot start.", ended.error());
    FlushLog();
    return 1;
  }
  return 0;
}

int RunStorage(const CommandLine&) {
  InitBufferedLog(Severity::kInfo, LogFormat::kText);
  Log(Severity::kInfo, LogPart::kMain, "Started as a storage VM.");
  FlushLog();
  WaitForDrainSignal();
  Log(Severity::kInfo, LogPart::kMain, "Stopping.");
  FlushLog();
  return 0;
}

}  // namespace bronzecross
