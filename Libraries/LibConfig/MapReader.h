/// \file
/// Reads the keys of one YAML mapping and collects every error.
#ifndef FERRY_LIBCONFIG_MAPREADER_H
#define FERRY_LIBCONFIG_MAPREADER_H

#include "LibConfig/ConfigError.h"
#include "LibConfig/TextForm.h"
#include "LibCore/EnumNames.h"
#include <chrono>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace ferry::config {

/// Collects the errors of one text.
class ErrorList {
public:
  explicit ErrorList(std::string FileName) : FileName(std::move(FileName)) {}

  void add(ConfigErrorKind Kind, const YAML::Mark &Mark, std::string Detail);
  bool empty() const { return Errors.empty(); }
  /// \returns the errors, ordered by line and column; the list is empty
  /// afterwards.
  ConfigErrors releaseSorted();

private:
  std::string FileName;
  ConfigErrors Errors;
};

/// The text of a scalar and its position.
struct LocatedText {
  std::string Value;
  YAML::Mark Mark;
};

/// Whether a mapping must have a key.
enum class Presence : uint8_t { Required, Optional };

/// Reads one mapping. A key that no call has read is an unknown key, which
/// finish() reports. Errors name the path of the key from the root.
class MapReader {
public:
  /// \param Errors receives the errors; it must outlive the reader.
  /// \param Path the path of the mapping from the root, empty for the root.
  MapReader(ErrorList &Errors, const YAML::Node &Map, std::string Path);

  /// \returns whether the node is a mapping.
  bool isMap() const { return IsMap; }
  YAML::Mark mark() const { return MapMark; }
  /// \returns the position of \p Key's value, or that of the mapping if the
  /// key is missing.
  YAML::Mark markOf(std::string_view Key) const;
  bool has(std::string_view Key) const { return find(Key) != nullptr; }

  /// \returns the text under \p Key, empty if the key is missing or its value
  /// is invalid.
  std::string text(std::string_view Key, Presence Needed, TextForm Form);

  /// Reads a whole number from \p Minimum to \p Maximum into \p Output, which
  /// keeps its value if the key is missing or its value is invalid.
  template <typename NumberType>
  void number(std::string_view Key, NumberType &Output, uint64_t Minimum,
              uint64_t Maximum = std::numeric_limits<NumberType>::max()) {
    if (auto Value = tryNumber(Key, Minimum, Maximum))
      Output = static_cast<NumberType>(*Value);
  }

  /// Reads a decimal number from 0 to \p Maximum into \p Output, which keeps
  /// its value if the key is missing or its value is invalid.
  void decimal(std::string_view Key, double &Output, double Maximum);

  /// The same, but an empty value is treated as a missing key: a platform that
  /// fills in the settings renders a value that it does not have as empty text.
  void decimalOrEmpty(std::string_view Key, double &Output, double Maximum);

  /// Reads a time in \p Unit, which may have a fraction, into \p Millis, which
  /// keeps its value if the key is absent. It must be from 1 ms to \p Maximum.
  void span(std::string_view Key, uint32_t &Millis,
            std::chrono::milliseconds Unit, std::chrono::milliseconds Maximum);

  /// Reads true or false into \p Output, which keeps its value if the key is
  /// missing or its value is invalid.
  void flag(std::string_view Key, bool &Output);

  /// Reads the name of an enumerator into \p Output, which keeps its value if
  /// the key is missing or its value is invalid.
  template <typename EnumType>
  void enumerator(std::string_view Key, Presence Needed, EnumType &Output) {
    auto Name = scalar(Key, Needed);
    if (!Name)
      return;
    if (auto Value = enumFromName<EnumType>(Name->Value)) {
      Output = *Value;
      return;
    }
    std::vector<std::string_view> Names;
    for (const auto &Row : EnumNames<EnumType>::Table)
      Names.push_back(Row.Name);
    addBadName(Key, *Name, Names);
  }

  /// \returns the valid texts of the sequence under \p Key; a repeated text is
  /// an error.
  std::vector<LocatedText> texts(std::string_view Key, Presence Needed,
                                 TextForm Form);

  /// Calls \p Read, then finish(), for each mapping of the sequence under
  /// \p Key.
  void maps(std::string_view Key, Presence Needed,
            const std::function<void(MapReader &)> &Read);

  /// Calls \p Read, then finish(), for the mapping under \p Key.
  void map(std::string_view Key, Presence Needed,
           const std::function<void(MapReader &)> &Read);

  /// Adds an error at the position of \p Key's value.
  void fail(ConfigErrorKind Kind, std::string_view Key, std::string Detail);

  /// Reports the keys that no call has read.
  void finish();

private:
  struct Entry {
    std::string Key;
    YAML::Mark KeyMark;
    YAML::Node Value;
    bool WasRead = false;
  };

  const Entry *find(std::string_view Key) const;
  /// Marks \p Key as read; reports it if it is required and missing.
  /// \returns the entry of \p Key, or nullptr.
  const Entry *readEntry(std::string_view Key, Presence Needed);
  std::optional<LocatedText> scalar(std::string_view Key, Presence Needed);
  std::optional<uint64_t> tryNumber(std::string_view Key, uint64_t Minimum,
                                    uint64_t Maximum);
  const YAML::Node *sequence(std::string_view Key, Presence Needed);
  bool checkForm(const std::string &Path, const LocatedText &Text,
                 TextForm Form);
  void addBadName(std::string_view Key, const LocatedText &Name,
                  const std::vector<std::string_view> &Names);
  std::string pathOf(std::string_view Key) const;

  ErrorList &Errors;
  std::string Path;
  YAML::Mark MapMark;
  bool IsMap;
  std::vector<Entry> Entries;
};

} // namespace ferry::config

#endif
