#include "LibConfig/TextForm.h"
#include "LibCore/ParseNumber.h"
#include <Poco/Net/IPAddress.h>
#include <algorithm>
#include <array>

namespace ferry::config {

static constexpr size_t MaxIdentifierBytes = 64;
static constexpr size_t MaxPathBytes = 1024;

static bool isIdentifierByte(char Byte) {
  return (Byte >= 'a' && Byte <= 'z') || (Byte >= 'A' && Byte <= 'Z') ||
         (Byte >= '0' && Byte <= '9') || Byte == '.' || Byte == '_' ||
         Byte == '-';
}

static bool isModelByte(char Byte) {
  return isIdentifierByte(Byte) || Byte == '/' || Byte == ':';
}

static bool isPrintable(char Byte) { return Byte > ' ' && Byte < 0x7f; }

static bool isPathByte(char Byte) {
  return static_cast<unsigned char>(Byte) >= ' ' && Byte != 0x7f;
}

template <typename PredicateType>
static bool consistsOf(const std::string &Text, size_t MaxBytes,
                       PredicateType Allowed) {
  return !Text.empty() && Text.size() <= MaxBytes &&
         std::all_of(Text.begin(), Text.end(), Allowed);
}

static bool isPort(std::string_view Text) {
  return parseNumber<uint16_t>(Text).value_or(0) != 0;
}

static bool isAddress(const std::string &Text) {
  size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  if (!isPort(std::string_view(Text).substr(Colon + 1)))
    return false;
  std::string Ip = Text.substr(0, Colon);
  bool Bracketed = Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']';
  if (Bracketed)
    Ip = Ip.substr(1, Ip.size() - 2);
  // An IPv6 address needs brackets: without them its last group looks like a
  // port.
  if (Bracketed != (Ip.find(':') != std::string::npos))
    return false;
  Poco::Net::IPAddress Parsed;
  if (!Poco::Net::IPAddress::tryParse(Ip, Parsed) || Parsed.isWildcard())
    return false;
  // POCO also accepts short forms such as "127.1". They are rejected, because
  // addresses are compared as texts elsewhere.
  return Bracketed || Parsed.toString() == Ip;
}

static bool isMethod(const std::string &Text) {
  static constexpr std::array<std::string_view, 4> Methods = {
      "POST", "PUT", "PATCH", "DELETE"};
  return std::find(Methods.begin(), Methods.end(), Text) != Methods.end();
}

bool hasForm(const std::string &Text, TextForm Form) {
  switch (Form) {
  case TextForm::Identifier:
    return consistsOf(Text, MaxIdentifierBytes, isIdentifierByte);
  case TextForm::ModelName:
    return consistsOf(Text, MaxIdentifierBytes, isModelByte);
  case TextForm::Address:
    return isAddress(Text);
  case TextForm::FilePath:
    return consistsOf(Text, MaxPathBytes, isPathByte);
  case TextForm::UrlPath:
    return consistsOf(Text, MaxPathBytes, isPrintable) && Text.front() == '/';
  case TextForm::Method:
    return isMethod(Text);
  }
  return false;
}

std::string_view formRule(TextForm Form) {
  switch (Form) {
  case TextForm::Identifier:
    return "1 to 64 of letters, digits, '.', '_' and '-'";
  case TextForm::ModelName:
    return "1 to 64 of letters, digits, '.', '_', '-', '/' and ':'";
  case TextForm::Address:
    return "IP:port, with the IP as a number and a port from 1 to 65535";
  case TextForm::FilePath:
    return "a path of 1 to 1024 bytes without control characters";
  case TextForm::UrlPath:
    return "a path of 1 to 1024 printable characters that starts with '/'";
  case TextForm::Method:
    return "POST, PUT, PATCH or DELETE";
  }
  return "";
}

} // namespace ferry::config
