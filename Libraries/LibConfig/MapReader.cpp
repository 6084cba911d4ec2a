#include "LibConfig/MapReader.h"
#include "LibConfig/YamlDocument.h"
#include <algorithm>
#include <charconv>
#include <set>
#include <tuple>

namespace ferry::config {

/// The tag that yaml-cpp gives quoted scalars; plain scalars have "?".
static constexpr std::string_view QuotedTag = "!";

void ErrorList::add(ConfigErrorKind Kind, const YAML::Mark &Mark,
                    std::string Detail) {
  Errors.push_back(errorAt(Kind, FileName, Mark, std::move(Detail)));
}

ConfigErrors ErrorList::releaseSorted() {
  std::stable_sort(Errors.begin(), Errors.end(),
                   [](const ConfigError &Left, const ConfigError &Right) {
                     return std::tie(Left.Line, Left.Column) <
                            std::tie(Right.Line, Right.Column);
                   });
  return std::move(Errors);
}

MapReader::MapReader(ErrorList &Errors, const YAML::Node &Map, std::string Path)
    : Errors(Errors), Path(std::move(Path)), MapMark(Map.Mark()),
      IsMap(Map.IsMap()) {
  if (!IsMap) {
    std::string Name = this->Path.empty() ? "the text" : this->Path;
    Errors.add(ConfigErrorKind::WrongType, MapMark,
               Name + " must be a mapping");
    return;
  }
  std::set<std::string> Keys;
  for (const auto &Pair : Map) {
    YAML::Mark KeyMark = Pair.first.Mark();
    if (!Pair.first.IsScalar()) {
      Errors.add(ConfigErrorKind::WrongType, KeyMark, "a key must be a text");
      continue;
    }
    const std::string &Key = Pair.first.Scalar();
    if (!Keys.insert(Key).second) {
      Errors.add(ConfigErrorKind::Duplicate, KeyMark, "key " + pathOf(Key));
      continue;
    }
    Entries.push_back({Key, KeyMark, Pair.second, false});
  }
}

std::string MapReader::pathOf(std::string_view Key) const {
  if (Path.empty())
    return std::string(Key);
  return Path + "." + std::string(Key);
}

const MapReader::Entry *MapReader::find(std::string_view Key) const {
  auto It = std::find_if(Entries.begin(), Entries.end(),
                         [&](const Entry &Item) { return Item.Key == Key; });
  return It == Entries.end() ? nullptr : &*It;
}

const MapReader::Entry *MapReader::readEntry(std::string_view Key,
                                             Presence Needed) {
  for (Entry &Item : Entries) {
    if (Item.Key != Key)
      continue;
    Item.WasRead = true;
    return &Item;
  }
  if (IsMap && Needed == Presence::Required)
    Errors.add(ConfigErrorKind::MissingKey, MapMark, pathOf(Key));
  return nullptr;
}

YAML::Mark MapReader::markOf(std::string_view Key) const {
  const Entry *Item = find(Key);
  if (!Item)
    return MapMark;
  YAML::Mark ValueMark = Item->Value.Mark();
  return ValueMark.is_null() ? Item->KeyMark : ValueMark;
}

void MapReader::fail(ConfigErrorKind Kind, std::string_view Key,
                     std::string Detail) {
  Errors.add(Kind, markOf(Key), pathOf(Key) + ": " + std::move(Detail));
}

std::optional<LocatedText> MapReader::scalar(std::string_view Key,
                                             Presence Needed) {
  const Entry *Item = readEntry(Key, Needed);
  if (!Item)
    return std::nullopt;
  if (!Item->Value.IsScalar()) {
    fail(ConfigErrorKind::WrongType, Key, "must be a single value");
    return std::nullopt;
  }
  return LocatedText{Item->Value.Scalar(), Item->Value.Mark()};
}

bool MapReader::checkForm(const std::string &TextPath, const LocatedText &Text,
                          TextForm Form) {
  if (hasForm(Text.Value, Form))
    return true;
  Errors.add(ConfigErrorKind::BadValue, Text.Mark,
             TextPath + ": must be " + std::string(formRule(Form)));
  return false;
}

std::string MapReader::text(std::string_view Key, Presence Needed,
                            TextForm Form) {
  auto Text = scalar(Key, Needed);
  if (!Text || !checkForm(pathOf(Key), *Text, Form))
    return {};
  return Text->Value;
}

std::optional<uint64_t>
MapReader::tryNumber(std::string_view Key, uint64_t Minimum, uint64_t Maximum) {
  auto Text = scalar(Key, Presence::Optional);
  if (!Text)
    return std::nullopt;
  uint64_t Value = 0;
  const char *End = Text->Value.data() + Text->Value.size();
  auto [Rest, Code] = std::from_chars(Text->Value.data(), End, Value);
  bool Quoted = find(Key)->Value.Tag() == QuotedTag;
  if (Quoted || Code == std::errc::invalid_argument || Rest != End) {
    fail(ConfigErrorKind::WrongType, Key, "must be a whole number");
    return std::nullopt;
  }
  if (Code != std::errc() || Value < Minimum || Value > Maximum) {
    fail(ConfigErrorKind::BadValue, Key,
         "must be from " + std::to_string(Minimum) + " to " +
             std::to_string(Maximum));
    return std::nullopt;
  }
  return Value;
}

void MapReader::addBadName(std::string_view Key, const LocatedText &Name,
                           const std::vector<std::string_view> &Names) {
  std::string List;
  for (std::string_view Allowed : Names) {
    if (!List.empty())
      List += ", ";
    List += Allowed;
  }
  Errors.add(ConfigErrorKind::BadValue, Name.Mark,
             pathOf(Key) + ": must be one of " + List);
}

void MapReader::decimal(std::string_view Key, double &Output, double Maximum) {
  auto Text = scalar(Key, Presence::Optional);
  if (!Text)
    return;
  double Value = 0;
  const char *End = Text->Value.data() + Text->Value.size();
  auto [Rest, Code] = std::from_chars(Text->Value.data(), End, Value);
  if (Code == std::errc() && Rest == End && Value >= 0 && Value <= Maximum)
    Output = Value;
  else
    fail(ConfigErrorKind::BadValue, Key,
         Text->Value + " is not a number from 0 to " + std::to_string(Maximum));
}

void MapReader::decimalOrEmpty(std::string_view Key, double &Output,
                               double Maximum) {
  const Entry *Item = readEntry(Key, Presence::Optional);
  bool IsEmpty =
      Item && (Item->Value.IsNull() ||
               (Item->Value.IsScalar() && Item->Value.Scalar().empty()));
  if (!IsEmpty)
    decimal(Key, Output, Maximum);
}

void MapReader::span(std::string_view Key, uint32_t &Millis,
                     std::chrono::milliseconds Unit,
                     std::chrono::milliseconds Maximum) {
  auto Text = scalar(Key, Presence::Optional);
  if (!Text)
    return;
  double Value = 0;
  const char *End = Text->Value.data() + Text->Value.size();
  auto [Rest, Code] = std::from_chars(Text->Value.data(), End, Value);
  double Result = Value * double(Unit.count());
  if (Code == std::errc() && Rest == End && Result >= 1 &&
      Result <= double(Maximum.count()))
    Millis = static_cast<uint32_t>(Result);
  else
    fail(ConfigErrorKind::BadValue, Key,
         Text->Value + " is not a time from 1 ms to " +
             std::to_string(Maximum.count()) + " ms");
}

void MapReader::flag(std::string_view Key, bool &Output) {
  auto Text = scalar(Key, Presence::Optional);
  if (!Text)
    return;
  if (Text->Value == "true" || Text->Value == "false")
    Output = Text->Value == "true";
  else
    fail(ConfigErrorKind::BadValue, Key, Text->Value + " is not true or false");
}

const YAML::Node *MapReader::sequence(std::string_view Key, Presence Needed) {
  const Entry *Item = readEntry(Key, Needed);
  if (!Item)
    return nullptr;
  if (!Item->Value.IsSequence()) {
    fail(ConfigErrorKind::WrongType, Key, "must be a list");
    return nullptr;
  }
  if (Needed == Presence::Required && Item->Value.size() == 0)
    fail(ConfigErrorKind::BadValue, Key, "must not be empty");
  return &Item->Value;
}

std::vector<LocatedText> MapReader::texts(std::string_view Key, Presence Needed,
                                          TextForm Form) {
  std::vector<LocatedText> Texts;
  const YAML::Node *List = sequence(Key, Needed);
  if (!List)
    return Texts;
  std::set<std::string> Values;
  for (size_t Index = 0; Index < List->size(); ++Index) {
    YAML::Node Item = (*List)[Index];
    std::string ItemPath = pathOf(Key) + "[" + std::to_string(Index) + "]";
    if (!Item.IsScalar()) {
      Errors.add(ConfigErrorKind::WrongType, Item.Mark(),
                 ItemPath + ": must be a single value");
      continue;
    }
    LocatedText Text{Item.Scalar(), Item.Mark()};
    if (!checkForm(ItemPath, Text, Form))
      continue;
    if (!Values.insert(Text.Value).second) {
      Errors.add(ConfigErrorKind::Duplicate, Text.Mark,
                 ItemPath + ": " + Text.Value);
      continue;
    }
    Texts.push_back(std::move(Text));
  }
  return Texts;
}

void MapReader::maps(std::string_view Key, Presence Needed,
                     const std::function<void(MapReader &)> &Read) {
  const YAML::Node *List = sequence(Key, Needed);
  if (!List)
    return;
  for (size_t Index = 0; Index < List->size(); ++Index) {
    std::string ItemPath = pathOf(Key) + "[" + std::to_string(Index) + "]";
    MapReader Reader(Errors, (*List)[Index], std::move(ItemPath));
    if (!Reader.isMap())
      continue;
    Read(Reader);
    Reader.finish();
  }
}

void MapReader::map(std::string_view Key, Presence Needed,
                    const std::function<void(MapReader &)> &Read) {
  const Entry *Item = readEntry(Key, Needed);
  if (!Item)
    return;
  MapReader Reader(Errors, Item->Value, pathOf(Key));
  if (!Reader.isMap())
    return;
  Read(Reader);
  Reader.finish();
}

void MapReader::finish() {
  for (const Entry &Item : Entries)
    if (!Item.WasRead)
      Errors.add(ConfigErrorKind::UnknownKey, Item.KeyMark, pathOf(Item.Key));
}

} // namespace ferry::config
