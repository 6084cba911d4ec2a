/// \file
/// Structured logs: one line per event on the standard output stream.
#ifndef FERRY_LIBOBSERVE_LOG_H
#define FERRY_LIBOBSERVE_LOG_H

#include "LibCore/EnumNames.h"
#include "LibCore/Ids.h"
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace ferry::observe {

/// The severity of an event; the names are the values of the setting
/// log_level.
enum class Severity : uint8_t { Debug, Info, Warning, Error };

/// One "key=value" of a line; it is left out if it has no value. Texts are not
/// copied, so a field must not outlive the call that it is passed to.
class LogField {
public:
  using Value = std::variant<std::monostate, std::string_view, int64_t,
                             uint64_t, double, bool>;

  LogField(std::string_view Key, std::string_view Text)
      : FieldKey(Key), FieldValue(Text) {}
  LogField(std::string_view Key, const std::string &Text)
      : FieldKey(Key), FieldValue(std::string_view(Text)) {}
  LogField(std::string_view Key, const char *Text)
      : FieldKey(Key), FieldValue(std::string_view(Text)) {}
  LogField(std::string_view Key, bool Flag) : FieldKey(Key), FieldValue(Flag) {}
  LogField(std::string_view Key, double Number)
      : FieldKey(Key), FieldValue(Number) {}
  template <std::signed_integral NumberType>
  LogField(std::string_view Key, NumberType Number)
      : FieldKey(Key), FieldValue(static_cast<int64_t>(Number)) {}
  template <std::unsigned_integral NumberType>
  LogField(std::string_view Key, NumberType Number)
      : FieldKey(Key), FieldValue(static_cast<uint64_t>(Number)) {}
  template <typename TagType>
  LogField(std::string_view Key, const StringId<TagType> &Id)
      : LogField(Key, Id.Value) {}
  template <typename TagType>
  LogField(std::string_view Key, const NumberId<TagType> &Id)
      : LogField(Key, Id.Value) {}
  template <typename EnumType>
  requires std::is_enum_v<EnumType> LogField(std::string_view Key,
                                             EnumType Enumerator)
      : LogField(Key, enumName(Enumerator)) {}
  LogField(std::string_view Key, std::optional<int64_t> Number)
      : FieldKey(Key) {
    if (Number)
      FieldValue = *Number;
  }

  LogField(std::string_view Key, std::optional<double> Number) : FieldKey(Key) {
    if (Number)
      FieldValue = *Number;
  }

  std::string_view key() const { return FieldKey; }
  const Value &value() const { return FieldValue; }

private:
  std::string_view FieldKey;
  Value FieldValue;
};

using LogFields = std::initializer_list<LogField>;

/// Drops all further events below \p Minimum. Safe from any thread.
void setLogSeverity(Severity Minimum);

/// \returns whether events of \p Level are logged.
bool isLogged(Severity Level);

/// Writes one line: time, level, module, request if there is one, event and
/// fields. Safe from any thread; it does not wait for the line to be written.
/// Under load, lines below Severity::Warning may be dropped; the next line that
/// is written shows how many. Values that are not plain words are quoted and
/// escaped, and truncated after 512 bytes. Tokens and keys must not be logged.
/// \param Module the part of the system that logs, for example "traffic".
/// \param Event what has happened, for example "stream_resumed".
/// \param Request the caller's request that the event belongs to, or empty.
void logEvent(Severity Level, std::string_view Module, std::string_view Event,
              LogFields Fields = {}, const RequestId &Request = {});

/// Waits until all earlier lines are written, for a bounded time.
void flushLog();

/// \returns the number of dropped lines.
uint64_t droppedLogLines();

/// \returns the line that logEvent() writes, without the time and the line
/// break.
std::string formatEvent(Severity Level, std::string_view Module,
                        std::string_view Event, LogFields Fields,
                        const RequestId &Request);

} // namespace ferry::observe

namespace ferry {

template <> struct EnumNames<observe::Severity> {
  using Severity = observe::Severity;
  static constexpr EnumName<Severity> Table[] = {{Severity::Debug, "debug"},
                                                 {Severity::Info, "info"},
                                                 {Severity::Warning, "warning"},
                                                 {Severity::Error, "error"}};
};

} // namespace ferry

#endif
