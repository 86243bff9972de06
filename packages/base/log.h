// Structured log. Each line has a time, a severity, the component that wrote
// it, a short message and named fields.

#ifndef BRONZECROSS_BASE_LOG_H_
#define BRONZECROSS_BASE_LOG_H_

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

#include "base/error.h"

namespace bronzecross {

enum class Severity { kDebug, kInfo, kWarning, kError };

// The component that writes a log line.
enum class LogPart {
  kMain,
  kConfig,
  kHttp,
  kStore,
  kPeers,
  kMembership,
  kLimits,
  kUpstreams,
  kRouting,
  kLedger,
  kOnline,
  kBatch,
  kOrders,
};

enum class LogFormat { kText, kJson };

// A named value in a log line.
struct LogField {
  LogField(std::string_view name, std::string_view value)
      : m_name(name), m_value(value) {}
  LogField(std::string_view name, const char* value)
      : m_name(name), m_value(value) {}
  LogField(std::string_view name, const std::string& value)
      : m_name(name), m_value(value) {}
  LogField(std::string_view name, std::integral auto value)
      : m_name(name), m_value(std::to_string(value)) {}
  LogField(std::string_view name, double value)
      : m_name(name), m_value(std::to_string(value)) {}
  LogField(std::string_view name, Millis value)
      : m_name(name), m_value(std::to_string(value.count())) {}

  std::string_view m_name;
  std::string m_value;
};

// Sets up logging to standard error. Call it once, before the first Log().
// Until then only warnings and errors are written, as text.
void InitLog(Severity min_severity, LogFormat format);

// Sets up logging to standard output through a bounded buffer, without ever
// blocking on the reader. Lines that don't fit are dropped and counted, and the
// count is logged later. For single-threaded processes, which must call
// FlushLog() regularly. May be called again to change severity and format.
void InitBufferedLog(Severity min_severity, LogFormat format);

// Writes as much of the buffer as standard output accepts without blocking, and
// logs how many lines were dropped.
void FlushLog();

// Returns whether lines of `severity` are written.
bool IsLogged(Severity severity);

void Log(Severity severity,
         LogPart part,
         std::string_view message,
         std::initializer_list<LogField> fields = {});

// Logs the message of `error` in the field "error" and the name of its code in
// "code".
void LogError(Severity severity,
              LogPart part,
              std::string_view message,
              const Error& error);

// Parses "debug", "info", "warning" or "error". Fails with kInvalidArgument for
// other names.
Result<Severity> ParseSeverity(std::string_view name);

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_LOG_H_
