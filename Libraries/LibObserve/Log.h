/// \file
/// Structured logs: one line per event on the standard output stream.
#ifndef FERRY_LIBOBSERVE_LOG_H
#define FERRY_LIBOBSERVE_LOG_H

#include "LibCore/EnumNames.h"
#include "LibCore/Ids.h"
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace ferry::observe {

/// How serious an event is; the names are those of the setting log_level.
enum class Severity : uint8_t { Debug, Info, Warning, Error };

/// One "key=value" of a line. Texts are not copied: a field lives no longer
/// than the call that it is given to.
class LogField {
public:
  using Value = std::variant<std::string_view, int64_t, uint64_t, double, bool>;

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

  std::string_view key() const { return FieldKey; }
  const Value &value() const { return FieldValue; }

private:
  std::string_view FieldKey;
  Value FieldValue;
};

using LogFields = std::initializer_list<LogField>;

/// Drops all events below \p Least from now on. Safe from any thread.
void setLogSeverity(Severity Least);

/// \returns whether an event of \p Level is written at all.
bool isLogged(Severity Level);

/// Writes one line: time, level, module, request if there is one, event and
/// fields. Safe from any thread; it does not wait for the line to be written.
/// Under load, lines below Severity::Warning may be left out: the next line
/// that is written counts them. Values that are not plain words are quoted and
/// escaped, and cut after 512 bytes. Tokens and keys must not be given.
/// \param Module the part that logs, as "traffic".
/// \param Event what has happened, as "stream_resumed".
/// \param Request the caller's request that it belongs to, or empty.
void logEvent(Severity Level, std::string_view Module, std::string_view Event,
              LogFields Fields = {}, const RequestId &Request = {});

/// Waits until the lines so far are written, for a moment at the most.
void flushLog();

/// \returns how many lines were left out.
uint64_t logLinesLeftOut();

/// \returns the line that logEvent() writes, without its time and its end.
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
