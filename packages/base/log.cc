#include "base/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <ctime>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>

namespace bronzecross {
namespace {

constexpr std::array<std::string_view, 4> kSeverityNames = {"debug", "info",
                                                            "warning", "error"};
constexpr std::array<std::string_view, 13> kPartNames = {
    "main",      "config",  "http",   "store",  "peers", "membership", "limits",
    "upstreams", "routing", "ledger", "online", "batch", "orders"};

std::atomic<Severity> g_min_severity = Severity::kWarning;
std::atomic<LogFormat> g_format = LogFormat::kText;

std::string Timestamp() {
  const Millis now = WallNow();
  const std::time_t seconds = now.count() / 1000;
  std::tm parts = {};
  gmtime_r(&seconds, &parts);
  return absl::StrFormat("%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                         parts.tm_year + 1900, parts.tm_mon + 1, parts.tm_mday,
                         parts.tm_hour, parts.tm_min, parts.tm_sec,
                         static_cast<int>(now.count() % 1000));
}

// Quotes `value` if it contains characters that would make a text line
// ambiguous.
std::string TextValue(const std::string& value) {
  if (!value.empty() &&
      value.find_first_of(" =\"\n\r\t") == std::string::npos) {
    return value;
  }
  return nlohmann::json(value).dump(-1, ' ', true,
                                    nlohmann::json::error_handler_t::replace);
}

std::string FormatText(Severity severity,
                       LogPart part,
                       std::string_view message,
                       std::initializer_list<LogField> fields) {
  std::string line = Timestamp();
  line += ' ';
  line += kSeverityNames[static_cast<size_t>(severity)];
  line += ' ';
  line += kPartNames[static_cast<size_t>(part)];
  line += ": ";
  line += message;
  for (const LogField& field : fields) {
    line += ' ';
    line += field.m_name;
    line += '=';
    line += TextValue(field.m_value);
  }
  return line;
}

std::string FormatJson(Severity severity,
                       LogPart part,
                       std::string_view message,
                       std::initializer_list<LogField> fields) {
  nlohmann::ordered_json line;
  line["time"] = Timestamp();
  line["level"] = kSeverityNames[static_cast<size_t>(severity)];
  line["part"] = kPartNames[static_cast<size_t>(part)];
  line["message"] = message;
  for (const LogField& field : fields) {
    line[std::string(field.m_name)] = field.m_value;
  }
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Writes each line to standard error with one system call. A flushed std::cerr
// takes two, and a buffered stream loses lines in a crash.
class StderrBackend : public boost::log::sinks::basic_formatted_sink_backend<
                          char,
                          boost::log::sinks::concurrent_feeding> {
 public:
  // Called by Boost.Log, which prescribes the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void consume(const boost::log::record_view&, const std::string& line) {
    std::string bytes;
    bytes.reserve(line.size() + 1);
    bytes += line;
    bytes += '\n';
    size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t count =
          write(STDERR_FILENO, bytes.data() + done, bytes.size() - done);
      if (count <= 0) {
        return;
      }
      done += static_cast<size_t>(count);
    }
  }
};

// Lines not yet written to standard output.
struct LogBuffer {
  std::string m_bytes;
  uint64_t m_dropped = 0;
};

// Maximum number of buffered bytes: the log lines of a few seconds on a busy
// VM.
constexpr size_t kMaxBufferedBytes = 256 << 10;

// Number of buffered bytes from which AppendLine() writes without waiting for
// FlushLog().
constexpr size_t kWriteThresholdBytes = 16 << 10;

LogBuffer& Buffer() {
  static LogBuffer buffer;
  return buffer;
}

void WriteBuffer(LogBuffer& buffer) {
  size_t done = 0;
  while (done < buffer.m_bytes.size()) {
    const ssize_t count = write(STDOUT_FILENO, buffer.m_bytes.data() + done,
                                buffer.m_bytes.size() - done);
    if (count > 0) {
      done += static_cast<size_t>(count);
    } else if (errno != EINTR) {
      break;
    }
  }
  buffer.m_bytes.erase(0, done);
}

void AppendLine(LogBuffer& buffer, std::string_view line) {
  if (buffer.m_bytes.size() + line.size() >= kMaxBufferedBytes) {
    ++buffer.m_dropped;
    return;
  }
  buffer.m_bytes += line;
  buffer.m_bytes += '\n';
  if (buffer.m_bytes.size() >= kWriteThresholdBytes) {
    WriteBuffer(buffer);
  }
}

// Appends each line to the buffer for standard output.
class BufferBackend : public boost::log::sinks::basic_formatted_sink_backend<
                          char,
                          boost::log::sinks::concurrent_feeding> {
 public:
  // Called by Boost.Log, which prescribes the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void consume(const boost::log::record_view&, const std::string& line) {
    AppendLine(Buffer(), line);
  }
};

}  // namespace

void InitBufferedLog(Severity min_severity, LogFormat format) {
  g_min_severity = min_severity;
  g_format = format;
  fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL, 0) | O_NONBLOCK);
  boost::log::core::get()->remove_all_sinks();
  boost::log::core::get()->add_sink(
      boost::make_shared<boost::log::sinks::unlocked_sink<BufferBackend>>(
          boost::make_shared<BufferBackend>()));
}

void FlushLog() {
  LogBuffer& buffer = Buffer();
  if (buffer.m_dropped > 0 && buffer.m_bytes.size() < kMaxBufferedBytes / 2) {
    const uint64_t dropped = buffer.m_dropped;
    buffer.m_dropped = 0;
    Log(Severity::kWarning, LogPart::kMain, "Log lines were dropped.",
        {{"lines", dropped}});
  }
  if (!buffer.m_bytes.empty()) {
    WriteBuffer(buffer);
  }
}

void InitLog(Severity min_severity, LogFormat format) {
  g_min_severity = min_severity;
  g_format = format;
  boost::log::core::get()->remove_all_sinks();
  boost::log::core::get()->add_sink(
      boost::make_shared<boost::log::sinks::unlocked_sink<StderrBackend>>(
          boost::make_shared<StderrBackend>()));
}

bool IsLogged(Severity severity) {
  return severity >= g_min_severity.load(std::memory_order_relaxed);
}

void Log(Severity severity,
         LogPart part,
         std::string_view message,
         std::initializer_list<LogField> fields) {
  if (!IsLogged(severity)) {
    return;
  }
  const std::string line = g_format == LogFormat::kText
                               ? FormatText(severity, part, message, fields)
                               : FormatJson(severity, part, message, fields);
  thread_local boost::log::sources::logger logger;
  BOOST_LOG(logger) << line;
}

void LogError(Severity severity,
              LogPart part,
              std::string_view message,
              const Error& error) {
  Log(severity, part, message,
      {{"code", GetResultCodeInfo(error.m_code).m_name},
       {"error", error.m_message}});
}

Result<Severity> ParseSeverity(std::string_view name) {
  for (size_t i = 0; i < kSeverityNames.size(); ++i) {
    if (kSeverityNames[i] == name) {
      return static_cast<Severity>(i);
    }
  }
  return Fail(ResultCode::kInvalidArgument,
              "log level must be debug, info, warning or error");
}

}  // namespace bronzecross
