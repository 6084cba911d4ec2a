#include "LibTraffic/MessageHead.h"
#include "LibCore/ParseNumber.h"
#include <Poco/Net/HTTPMessage.h>
#include <Poco/String.h>
#include <algorithm>
#include <optional>
#include <vector>

namespace ferry::traffic {

using HeadResult = Result<void, MalformedHead>;
using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

static constexpr size_t MaxMethodBytes = 32;
static constexpr size_t MaxTargetBytes = 16 << 10;
static constexpr size_t MaxNameBytes = 256;
static constexpr size_t MaxValueBytes = 8 << 10;
static constexpr size_t MaxFields = 100;
static constexpr size_t StatusDigits = 3;
static constexpr uint32_t MinStatus = 100;
static constexpr uint32_t MaxStatus = 599;

static constexpr std::string_view Whitespace = " \t";
/// The characters of a token beside letters and digits (RFC 9110, 5.6.2).
static constexpr std::string_view TokenMarks = "!#$%&'*+-.^_`|~";

static auto malformed(std::string Reason) {
  return makeError(MalformedHead{std::move(Reason)});
}

/// \returns the first line of \p Text without its end, and removes it from
/// \p Text; nothing if the line has no end.
static std::optional<std::string_view> takeLine(std::string_view &Text) {
  size_t End = Text.find('\n');
  if (End == std::string_view::npos)
    return std::nullopt;
  std::string_view Line = Text.substr(0, End);
  Text.remove_prefix(End + 1);
  if (Line.ends_with('\r'))
    Line.remove_suffix(1);
  return Line;
}

static bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char C) {
    return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'z') ||
           (C >= 'A' && C <= 'Z') ||
           TokenMarks.find(C) != std::string_view::npos;
  });
}

static bool isControl(char C) {
  auto Byte = static_cast<unsigned char>(C);
  return Byte < 0x20 || Byte == 0x7f;
}

/// Whether \p Text may be the value of a field or a reason phrase.
static bool isFieldContent(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C == '\t' || !isControl(C); });
}

static std::string_view trimWhitespace(std::string_view Text) {
  size_t Start = std::min(Text.find_first_not_of(Whitespace), Text.size());
  Text.remove_prefix(Start);
  return Text.substr(0, Text.find_last_not_of(Whitespace) + 1);
}

/// The sender of a head.
enum class Sender : uint8_t { Caller, Target };

static HeadResult addField(std::string_view Line, Sender From,
                           Poco::Net::MessageHeader &Fields) {
  size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return malformed("a line of the head is no field");
  std::string_view Name = Line.substr(0, Colon);
  if (From == Sender::Target)
    Name = Name.substr(0, Name.find_last_not_of(Whitespace) + 1);
  if (!isToken(Name))
    return malformed("the name of a field is no token");
  std::string_view Value = trimWhitespace(Line.substr(Colon + 1));
  if (!isFieldContent(Value))
    return malformed("a field contains a control character");
  if (Name.size() > MaxNameBytes || Value.size() > MaxValueBytes)
    return malformed("a field is too long");
  if (Fields.size() >= MaxFields)
    return malformed("the head has too many fields");
  Fields.add(std::string(Name), std::string(Value));
  return {};
}

/// Parses the fields and the empty line behind them.
static HeadResult tryParseFields(std::string_view Text, Sender From,
                                 Poco::Net::MessageHeader &Fields) {
  // The last field, to which folded lines are added.
  std::string Field;
  while (auto Line = takeLine(Text)) {
    bool IsFolded = From == Sender::Target && !Field.empty() &&
                    Line->find_first_of(Whitespace) == 0;
    if (IsFolded) {
      Field += ' ';
      Field += trimWhitespace(*Line);
      continue;
    }
    if (!Field.empty())
      if (auto Added = addField(Field, From, Fields); !Added)
        return Added;
    if (Line->empty())
      return Text.empty() ? HeadResult() : malformed("the head goes on");
    Field = *Line;
  }
  return malformed("the head has no end");
}

static bool isRequestTarget(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxTargetBytes &&
         std::none_of(Text.begin(), Text.end(),
                      [](char C) { return C == ' ' || isControl(C); });
}

HeadResult tryParseRequestHead(std::string_view Text, HTTPRequest &Head) {
  Head.clear();
  std::string_view Line = takeLine(Text).value_or("");
  size_t MethodEnd = std::min(Line.find(' '), Line.size());
  size_t VersionStart = Line.rfind(' ');
  if (VersionStart == std::string_view::npos || VersionStart <= MethodEnd)
    return malformed("the request line lacks a part");
  std::string_view Method = Line.substr(0, MethodEnd);
  std::string_view Target =
      Line.substr(MethodEnd + 1, VersionStart - MethodEnd - 1);
  std::string Version(Line.substr(VersionStart + 1));
  if (!isToken(Method) || Method.size() > MaxMethodBytes)
    return malformed("the method is malformed or too long");
  if (!isRequestTarget(Target))
    return malformed("the request target is malformed or too long");
  if (Version != HTTPMessage::HTTP_1_1 && Version != HTTPMessage::HTTP_1_0)
    return malformed("the version is not HTTP/1.1");
  Head.setMethod(std::string(Method));
  Head.setURI(std::string(Target));
  Head.setVersion(Version);
  if (auto Parsed = tryParseFields(Text, Sender::Caller, Head); !Parsed)
    return Parsed;
  // With two, the router and a target could each use another one.
  bool IsHostRepeated =
      std::count_if(Head.begin(), Head.end(), [](const auto &Field) {
        return Poco::icompare(Field.first, HTTPRequest::HOST) == 0;
      }) > 1;
  return IsHostRepeated ? malformed("the request has several hosts")
                        : HeadResult();
}

HeadResult tryParseAnswerHead(std::string_view Text, HTTPResponse &Head) {
  Head.clear();
  std::string_view Line = takeLine(Text).value_or("");
  size_t VersionEnd = std::min(Line.find(' '), Line.size());
  std::string Version(Line.substr(0, VersionEnd));
  if (Version != HTTPMessage::HTTP_1_1 && Version != HTTPMessage::HTTP_1_0)
    return malformed("the version is not HTTP/1.1");
  std::string_view Rest = Line.substr(std::min(VersionEnd + 1, Line.size()));
  auto Status = parseNumber<uint32_t>(Rest.substr(0, StatusDigits));
  bool IsSeparated = Rest.size() == StatusDigits ||
                     (Rest.size() > StatusDigits && Rest[StatusDigits] == ' ');
  if (!Status || *Status < MinStatus || *Status > MaxStatus || !IsSeparated)
    return malformed("the status is malformed");
  std::string_view Reason =
      Rest.substr(std::min(StatusDigits + 1, Rest.size()));
  if (!isFieldContent(Reason))
    return malformed("the reason phrase contains a control character");
  Head.setVersion(Version);
  Head.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(*Status),
                          std::string(Reason));
  return tryParseFields(Text, Sender::Target, Head);
}

/// \returns the values of all fields \p Name of \p Head.
static std::vector<std::string> valuesOf(const HTTPResponse &Head,
                                         const std::string &Name) {
  std::vector<std::string> Values;
  for (const auto &[FieldName, Value] : Head)
    if (Poco::icompare(FieldName, Name) == 0)
      Values.push_back(Value);
  return Values;
}

Result<BodyFraming, MalformedHead> tryReadFraming(const HTTPResponse &Head) {
  int Status = Head.getStatus();
  if (Status == HTTPResponse::HTTP_NO_CONTENT ||
      Status == HTTPResponse::HTTP_NOT_MODIFIED)
    return BodyFraming(LengthFraming{0});
  auto Codings = valuesOf(Head, HTTPMessage::TRANSFER_ENCODING);
  auto Lengths = valuesOf(Head, HTTPMessage::CONTENT_LENGTH);
  if (!Codings.empty()) {
    // A coding that is not decoded would reach the caller as text of the body.
    if (Codings.size() > 1 || Poco::icompare(Codings.front(), "chunked") != 0)
      return malformed("the coding of the body is unknown or ambiguous");
    return BodyFraming(ChunkFraming{});
  }
  if (Lengths.empty())
    return BodyFraming(CloseFraming{});
  auto Length = parseNumber<uint64_t>(Lengths.front());
  bool AllEqual =
      std::all_of(Lengths.begin(), Lengths.end(),
                  [&](const auto &Each) { return Each == Lengths.front(); });
  if (!Length || !AllEqual)
    return malformed("the length of the body is malformed or ambiguous");
  return BodyFraming(LengthFraming{*Length});
}

} // namespace ferry::traffic
