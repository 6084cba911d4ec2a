/// \file
/// Reads the keys of one YAML mapping and collects every fault.
#ifndef FERRY_LIBCONFIG_MAPREADER_H
#define FERRY_LIBCONFIG_MAPREADER_H

#include "LibConfig/ConfigError.h"
#include "LibConfig/TextForm.h"
#include "LibCore/EnumNames.h"
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace ferry::config {

/// Collects the faults of one text.
class ErrorList {
public:
  explicit ErrorList(std::string FileName) : FileName(std::move(FileName)) {}

  void add(ConfigErrorKind Kind, const YAML::Mark &Mark, std::string Detail);
  bool empty() const { return Errors.empty(); }
  /// \returns the faults in the order of their places.
  ConfigErrors takeSorted();

private:
  std::string FileName;
  ConfigErrors Errors;
};

/// A scalar and its place.
struct PlacedText {
  std::string Value;
  YAML::Mark Mark;
};

/// Whether a key may be left out.
enum class Presence : uint8_t { Required, Optional };

/// Reads one mapping. Keys that were never asked for are unknown: finish()
/// reports them. Errors name the path of the key from the root.
class MapReader {
public:
  /// \param Path where the mapping stands, empty for the root.
  MapReader(ErrorList &Errors, const YAML::Node &Map, std::string Path);

  /// \returns whether the node was a mapping at all.
  bool isMap() const { return IsMap; }
  YAML::Mark mark() const { return Place; }
  /// \returns the place of \p Key's value, or of the mapping.
  YAML::Mark markOf(std::string_view Key) const;
  bool has(std::string_view Key) const { return find(Key) != nullptr; }

  /// \returns the text under \p Key, empty if there is a fault or no key.
  std::string text(std::string_view Key, Presence Need, TextForm Form);

  /// Reads a number between \p Least and \p Most into \p Target, which keeps
  /// its value if the key is missing.
  template <typename NumberType>
  void number(std::string_view Key, NumberType &Target, uint64_t Least,
              uint64_t Most = std::numeric_limits<NumberType>::max()) {
    if (auto Value = tryNumber(Key, Least, Most))
      Target = static_cast<NumberType>(*Value);
  }

  /// Reads a number with a fraction between 0 and \p Most into \p Target, which
  /// keeps its value if the key is missing.
  void decimal(std::string_view Key, double &Target, double Most);

  /// Reads true or false into \p Target, which keeps its value if the key is
  /// missing.
  void flag(std::string_view Key, bool &Target);

  /// Reads the name of an enumerator into \p Target, which keeps its value if
  /// the key is missing.
  template <typename EnumType>
  void enumerator(std::string_view Key, Presence Need, EnumType &Target) {
    auto Name = scalar(Key, Need);
    if (!Name)
      return;
    if (auto Value = enumFromName<EnumType>(Name->Value)) {
      Target = *Value;
      return;
    }
    std::vector<std::string_view> Names;
    for (const auto &Row : EnumNames<EnumType>::Table)
      Names.push_back(Row.Name);
    addBadName(Key, *Name, Names);
  }

  /// \returns the texts of the sequence under \p Key; twice the same is a
  /// fault.
  std::vector<PlacedText> texts(std::string_view Key, Presence Need,
                                TextForm Form);

  /// Calls \p Read for each mapping of the sequence under \p Key, and
  /// finishes it.
  void maps(std::string_view Key, Presence Need,
            const std::function<void(MapReader &)> &Read);

  /// Calls \p Read for the mapping under \p Key, and finishes it.
  void map(std::string_view Key, Presence Need,
           const std::function<void(MapReader &)> &Read);

  /// Adds a fault at the value of \p Key.
  void fail(ConfigErrorKind Kind, std::string_view Key, std::string Detail);

  /// Reports the keys that nobody asked for.
  void finish();

private:
  struct Entry {
    std::string Key;
    YAML::Mark KeyMark;
    YAML::Node Value;
    bool Known = false;
  };

  const Entry *find(std::string_view Key) const;
  const Entry *take(std::string_view Key, Presence Need);
  std::optional<PlacedText> scalar(std::string_view Key, Presence Need);
  std::optional<uint64_t> tryNumber(std::string_view Key, uint64_t Least,
                                    uint64_t Most);
  const YAML::Node *sequence(std::string_view Key, Presence Need);
  bool checkForm(const std::string &Path, const PlacedText &Text,
                 TextForm Form);
  void addBadName(std::string_view Key, const PlacedText &Name,
                  const std::vector<std::string_view> &Names);
  std::string pathOf(std::string_view Key) const;

  ErrorList &Errors;
  std::string Path;
  YAML::Mark Place;
  bool IsMap;
  std::vector<Entry> Entries;
};

} // namespace ferry::config

#endif
