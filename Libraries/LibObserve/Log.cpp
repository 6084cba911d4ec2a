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
/// Longest wait for the writer at the end of a process.
static constexpr Duration FlushLimit = std::chrono::milliseconds(200);
static constexpr const char *LoggerName = "ferry";
static constexpr const char *TimeFormat = "%Y-%m-%dT%H:%M:%S.%iZ";

static std::atomic<Severity> LeastSeverity = Severity::Info;

void setLogSeverity(Severity Least) { LeastSeverity = Least; }

bool isLogged(Severity Level) { return Level >= LeastSeverity.load(); }

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
    // Control bytes could forge a line or drive a terminal.
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
  Line += ' ';
  Line += Field.key();
  Line += '=';
  match(
      Field.value(), [&](std::string_view Text) { appendText(Line, Text); },
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

/// Sets easylogging++ up once; its own file and format stay unused.
static el::Logger *logger() {
  static el::Logger *const Ready = [] {
    el::Configurations Setup;
    Setup.setGlobally(el::ConfigurationType::Format, "%msg");
    Setup.setGlobally(el::ConfigurationType::ToFile, "false");
    Setup.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Logger *Made = el::Loggers::getLogger(LoggerName);
    el::Loggers::reconfigureLogger(Made, Setup);
    return Made;
  }();
  return Ready;
}

/// Lives until the end of the process, so that every thread may log until then.
static LogQueue &queue() {
  static LogQueue *const Ready =
      new LogQueue([](const std::string &Line) { logger()->info(Line); }, {});
  return *Ready;
}

void logEvent(Severity Level, std::string_view Module, std::string_view Event,
              LogFields Fields, const RequestId &Request) {
  if (!isLogged(Level))
    return;
  std::string Line = "time=";
  Line += Poco::DateTimeFormatter::format(Poco::Timestamp(), TimeFormat);
  Line += ' ';
  Line += formatEvent(Level, Module, Event, Fields, Request);
  LineWeight Weight =
      Level >= Severity::Warning ? LineWeight::Important : LineWeight::Ordinary;
  queue().push(std::move(Line), Weight, steadyNow());
}

void flushLog() { queue().flush(steadyNow() + FlushLimit); }

uint64_t logLinesLeftOut() { return queue().leftOut(); }

} // namespace ferry::observe
