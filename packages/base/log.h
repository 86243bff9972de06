// Structured log. Each line has a time, a level, the prefix of the part that
// wrote it, one short sentence and named fields.

#ifndef BRONZECROSS_BASE_LOG_H_
#define BRONZECROSS_BASE_LOG_H_

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

#include "base/error.h"

namespace bronzecross {

enum class Severity { kDebug, kInfo, kWarning, kError };

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

// One named value of a log line.
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

// Writes to standard error. Call once, before the first Log(); until then only
// warnings and errors are written, as text.
void InitLog(Severity lowest, LogFormat format);

// Writes to standard output through a bounded buffer and never waits for the
// reader: lines that don't fit are dropped, counted and reported by a later
// line. For processes with one thread, which calls FlushLog() regularly. May be
// called again to change level and format.
void InitBufferedLog(Severity lowest, LogFormat format);

// Writes what the reader takes now.
void FlushLog();

bool IsLogged(Severity severity);

void Log(Severity severity,
         LogPart part,
         std::string_view sentence,
         std::initializer_list<LogField> fields = {});

// Logs `error` as a field "error" with its code's name in "code".
void LogError(Severity severity,
              LogPart part,
              std::string_view sentence,
              const Error& error);

// "debug", "info", "warning" or "error". Fails with kInvalidArgument.
Result<Severity> ParseSeverity(std::string_view name);

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_LOG_H_
