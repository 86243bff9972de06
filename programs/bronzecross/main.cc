// Main function of the bronzecross program: runs the daemon, the gateway or the
// storage role.

#include <malloc.h>

#include <cstdio>

#include "base/log.h"
#include "command_line.h"
#include "config/settings.h"
#include "daemon.h"
#include "drain_signal.h"
#include "gateway_main.h"

namespace {

// Buffers from this size on are given back to the system when they are freed.
// By default the allocator raises the size as it sees large buffers, and the
// arenas of many threads then keep several times what the budget for request
// bodies allows.
constexpr int kMappedBufferBytes = 128 << 10;

}  // namespace

int main(int argc, const char** argv) {
  bronzecross::BlockSignals();
  const bronzecross::CommandLine line =
      bronzecross::ParseCommandLine(argc, argv);
  if (line.m_version) {
    std::puts("bronzecross " BRONZECROSS_VERSION);
    return 0;
  }
  if (line.m_role == bronzecross::ProgramRole::kGateway) {
    return bronzecross::RunGateway(line);
  }
  if (line.m_role == bronzecross::ProgramRole::kStorage) {
    return bronzecross::RunStorage(line);
  }
  const bronzecross::Result<bronzecross::Settings> settings =
      bronzecross::LoadSettings(line.m_settings_path);
  if (!settings) {
    std::fprintf(stderr, "%s\n", settings.error().m_message.c_str());
    return 2;
  }
  if (line.m_check) {
    std::printf("%s: ok\n", line.m_settings_path.c_str());
    return 0;
  }
  mallopt(M_MMAP_THRESHOLD, kMappedBufferBytes);
  bronzecross::InitLog(settings->m_log_level, settings->m_log_format);
  bronzecross::Daemon daemon(*settings);
  const bronzecross::Status started = daemon.Start();
  if (!started) {
    bronzecross::LogError(bronzecross::Severity::kError,
                          bronzecross::LogPart::kMain, "Cannot start.",
                          started.error());
    return 1;
  }
  bronzecross::WaitForDrainSignal();
  daemon.Drain();
  return 0;
}
