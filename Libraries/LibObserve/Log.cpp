#include "LibObserve/Log.h"
#include "LibCore/Visit.h"
#include "LibObserve/EasyLogging.h"
#include "LibObserve/LogQueue.h"
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>
#include <algorithm>
#include <atomic>

INITIALIZE_EASYLOGGINGPP

namespace ferry::observe {

static constexpr size_t MaxValueBytes = 512;
/// Maximum time that flushLog() waits for the writer.
static constexpr Duration FlushTimeout = std::chrono::milliseconds(200);
static constexpr const char *LoggerName = "ferry";
static constexpr const char *TimeFormat = "%Y-%m-%dT%H:%M:%S.%iZ";

static std::atomic<Severity> MinSeverity = Severity::Info;

void setLogSeverity(Severity Minimum) { MinSeverity = Minimum; }

bool isLogged(Severity Level) { return Level >= MinSeverity.load(); }

static bool isPlainByte(char Byte) {
  static constexpr std::string_view Marks = "._:/+-@,";
  return (Byte >= 'a' && Byte <= 'z') || (Byte >= 'A' && Byte <= 'Z') ||
         (Byte >= '0' && Byte <= '9') ||
         Marks.find(Byte) != std::string_view::npos;
}

static void appendEscaped(std::string &Line, char Byte) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  auto Code = static_cast<unsigned char>(Byte);
  if (Byte == '"' || Byte == '\\') {
    Line += '\\';
    Line += Byte;
  } else if (Code >= ' ' && Code < 0x7f) {
    Line += Byte;
  } else {
    // Control bytes could forge a log line or control a terminal.
    Line += "\\x";
    Line += Digits[Code >> 4];
    Line += Digits[Code & 15];
  }
}

static void appendText(std::string &Line, std::string_view Text) {
  if (!Text.empty() && Text.size() <= MaxValueBytes &&
      std::all_of(Text.begin(), Text.end(), isPlainByte)) {
    Line += Text;
    return;
  }
  Line += '"';
  for (char Byte : Text.substr(0, MaxValueBytes))
    appendEscaped(Line, Byte);
  if (Text.size() > MaxValueBytes)
    Line += "...";
  Line += '"';
}

static void appendField(std::string &Line, const LogField &Field) {
  if (std::holds_alternative<std::monostate>(Field.value()))
    return;
  Line += ' ';
  Line += Field.key();
  Line += '=';
  match(
      Field.value(), [&](std::string_view Text) { appendText(Line, Text); },
      [](std::monostate) {},
      [&](bool Flag) { Line += Flag ? "true" : "false"; },
      [&](auto Number) { Line += std::to_string(Number); });
}

std::string formatEvent(Severity Level, std::string_view Module,
                        std::string_view Event, LogFields Fields,
                        const RequestId &Request) {
  std::string Line = "level=";
  Line += enumName(Level);
  appendField(Line, {"module", Module});
  if (!Request.empty())
    appendField(Line, {"request", Request});
  appendField(Line, {"event", Event});
  for (const LogField &Field : Fields)
    appendField(Line, Field);
  return Line;
}

/// \returns the logger of easylogging++. The first call configures it to write
/// only the message, and only to the standard output.
static el::Logger *logger() {
  static el::Logger *const Configured = [] {
    el::Configurations Configuration;
    Configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    Configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    Configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Logger *NewLogger = el::Loggers::getLogger(LoggerName);
    el::Loggers::reconfigureLogger(NewLogger, Configuration);
    return NewLogger;
  }();
  return Configured;
}

/// Never destroyed, so that every thread may log until the process ends.
static LogQueue &queue() {
  static LogQueue *const Queue =
      new LogQueue([](const std::string &Line) { logger()->info(Line); }, {});
  return *Queue;
}

void logEvent(Severity Level, std::string_view Module, std::string_view Event,
              LogFields Fields, const RequestId &Request) {
  if (!isLogged(Level))
    return;
  std::string Line = "time=";
  Line += Poco::DateTimeFormatter::format(Poco::Timestamp(), TimeFormat);
  Line += ' ';
  Line += formatEvent(Level, Module, Event, Fields, Request);
  LinePriority Priority = Level >= Severity::Warning ? LinePriority::Important
                                                     : LinePriority::Ordinary;
  queue().push(std::move(Line), Priority, steadyNow());
}

void flushLog() { queue().flush(steadyNow() + FlushTimeout); }

uint64_t droppedLogLines() { return queue().droppedLines(); }

} // namespace ferry::observe
