#include "LibConfig/MapReader.h"
#include "LibConfig/YamlDocument.h"
#include <algorithm>
#include <charconv>
#include <set>
#include <tuple>

namespace ferry::config {

/// yaml-cpp tags quoted scalars so; plain ones have "?".
static constexpr std::string_view QuotedTag = "!";

void ErrorList::add(ConfigErrorKind Kind, const YAML::Mark &Mark,
                    std::string Detail) {
  Errors.push_back(errorAt(Kind, FileName, Mark, std::move(Detail)));
}

ConfigErrors ErrorList::takeSorted() {
  std::stable_sort(Errors.begin(), Errors.end(),
                   [](const ConfigError &Left, const ConfigError &Right) {
                     return std::tie(Left.Line, Left.Column) <
                            std::tie(Right.Line, Right.Column);
                   });
  return std::move(Errors);
}

MapReader::MapReader(ErrorList &Errors, const YAML::Node &Map, std::string Path)
    : Errors(Errors), Path(std::move(Path)), Place(Map.Mark()),
      IsMap(Map.IsMap()) {
  if (!IsMap) {
    std::string Name = this->Path.empty() ? "the text" : this->Path;
    Errors.add(ConfigErrorKind::WrongType, Place, Name + " must be a mapping");
    return;
  }
  std::set<std::string> Seen;
  for (const auto &Pair : Map) {
    YAML::Mark KeyMark = Pair.first.Mark();
    if (!Pair.first.IsScalar()) {
      Errors.add(ConfigErrorKind::WrongType, KeyMark, "a key must be a text");
      continue;
    }
    const std::string &Key = Pair.first.Scalar();
    if (!Seen.insert(Key).second) {
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
  auto Found = std::find_if(Entries.begin(), Entries.end(),
                            [&](const Entry &Item) { return Item.Key == Key; });
  return Found == Entries.end() ? nullptr : &*Found;
}

const MapReader::Entry *MapReader::take(std::string_view Key, Presence Need) {
  for (Entry &Item : Entries) {
    if (Item.Key != Key)
      continue;
    Item.Known = true;
    return &Item;
  }
  if (IsMap && Need == Presence::Required)
    Errors.add(ConfigErrorKind::MissingKey, Place, pathOf(Key));
  return nullptr;
}

YAML::Mark MapReader::markOf(std::string_view Key) const {
  const Entry *Item = find(Key);
  if (!Item)
    return Place;
  YAML::Mark ValueMark = Item->Value.Mark();
  return ValueMark.is_null() ? Item->KeyMark : ValueMark;
}

void MapReader::fail(ConfigErrorKind Kind, std::string_view Key,
                     std::string Detail) {
  Errors.add(Kind, markOf(Key), pathOf(Key) + ": " + std::move(Detail));
}

std::optional<PlacedText> MapReader::scalar(std::string_view Key,
                                            Presence Need) {
  const Entry *Item = take(Key, Need);
  if (!Item)
    return std::nullopt;
  if (!Item->Value.IsScalar()) {
    fail(ConfigErrorKind::WrongType, Key, "must be a single value");
    return std::nullopt;
  }
  return PlacedText{Item->Value.Scalar(), Item->Value.Mark()};
}

bool MapReader::checkForm(const std::string &TextPath, const PlacedText &Text,
                          TextForm Form) {
  if (hasForm(Text.Value, Form))
    return true;
  Errors.add(ConfigErrorKind::BadValue, Text.Mark,
             TextPath + ": must be " + std::string(formRule(Form)));
  return false;
}

std::string MapReader::text(std::string_view Key, Presence Need,
                            TextForm Form) {
  auto Text = scalar(Key, Need);
  if (!Text || !checkForm(pathOf(Key), *Text, Form))
    return {};
  return Text->Value;
}

std::optional<uint64_t> MapReader::tryNumber(std::string_view Key,
                                             uint64_t Least, uint64_t Most) {
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
  if (Code != std::errc() || Value < Least || Value > Most) {
    fail(ConfigErrorKind::BadValue, Key,
         "must be from " + std::to_string(Least) + " to " +
             std::to_string(Most));
    return std::nullopt;
  }
  return Value;
}

void MapReader::addBadName(std::string_view Key, const PlacedText &Name,
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

void MapReader::decimal(std::string_view Key, double &Target, double Most) {
  auto Text = scalar(Key, Presence::Optional);
  if (!Text)
    return;
  double Value = 0;
  const char *End = Text->Value.data() + Text->Value.size();
  auto [Rest, Code] = std::from_chars(Text->Value.data(), End, Value);
  if (Code == std::errc() && Rest == End && Value >= 0 && Value <= Most)
    Target = Value;
  else
    fail(ConfigErrorKind::BadValue, Key,
         Text->Value + " is not a number from 0 to " + std::to_string(Most));
}

void MapReader::flag(std::string_view Key, bool &Target) {
  auto Text = scalar(Key, Presence::Optional);
  if (!Text)
    return;
  if (Text->Value == "true" || Text->Value == "false")
    Target = Text->Value == "true";
  else
    fail(ConfigErrorKind::BadValue, Key, Text->Value + " is not true or false");
}

const YAML::Node *MapReader::sequence(std::string_view Key, Presence Need) {
  const Entry *Item = take(Key, Need);
  if (!Item)
    return nullptr;
  if (!Item->Value.IsSequence()) {
    fail(ConfigErrorKind::WrongType, Key, "must be a list");
    return nullptr;
  }
  if (Need == Presence::Required && Item->Value.size() == 0)
    fail(ConfigErrorKind::BadValue, Key, "must not be empty");
  return &Item->Value;
}

std::vector<PlacedText> MapReader::texts(std::string_view Key, Presence Need,
                                         TextForm Form) {
  std::vector<PlacedText> Texts;
  const YAML::Node *List = sequence(Key, Need);
  if (!List)
    return Texts;
  std::set<std::string> Seen;
  for (size_t Index = 0; Index < List->size(); ++Index) {
    YAML::Node Item = (*List)[Index];
    std::string ItemPath = pathOf(Key) + "[" + std::to_string(Index) + "]";
    if (!Item.IsScalar()) {
      Errors.add(ConfigErrorKind::WrongType, Item.Mark(),
                 ItemPath + ": must be a single value");
      continue;
    }
    PlacedText Text{Item.Scalar(), Item.Mark()};
    if (!checkForm(ItemPath, Text, Form))
      continue;
    if (!Seen.insert(Text.Value).second) {
      Errors.add(ConfigErrorKind::Duplicate, Text.Mark,
                 ItemPath + ": " + Text.Value);
      continue;
    }
    Texts.push_back(std::move(Text));
  }
  return Texts;
}

void MapReader::maps(std::string_view Key, Presence Need,
                     const std::function<void(MapReader &)> &Read) {
  const YAML::Node *List = sequence(Key, Need);
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

void MapReader::map(std::string_view Key, Presence Need,
                    const std::function<void(MapReader &)> &Read) {
  const Entry *Item = take(Key, Need);
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
    if (!Item.Known)
      Errors.add(ConfigErrorKind::UnknownKey, Item.KeyMark, pathOf(Item.Key));
}

} // namespace ferry::config
