#include "LibTraffic/BodyFraming.h"
#include "LibCore/Visit.h"
#include <algorithm>
#include <charconv>
#include <limits>

namespace ferry::traffic {

/// Longest chunk size line or trailer line, in bytes.
static constexpr size_t MaxLineBytes = 4096;
/// Most bytes of all trailer lines.
static constexpr uint64_t MaxTrailerBytes = 64 << 10;
static constexpr int HexBase = 16;

using Expect = ChunkFraming::Expect;

LinkResult<void> BodyFraming::decode(std::string_view Raw, std::string &Body) {
  return match(
      Framing,
      [&](LengthFraming &Length) -> LinkResult<void> {
        uint64_t Count = std::min<uint64_t>(Length.RemainingBytes, Raw.size());
        Body.append(Raw.substr(0, Count));
        Length.RemainingBytes -= Count;
        return {};
      },
      [&](ChunkFraming &Chunks) { return decodeChunks(Chunks, Raw, Body); },
      [&](CloseFraming &) -> LinkResult<void> {
        Body.append(Raw);
        return {};
      });
}

LinkResult<void> BodyFraming::decodeChunks(ChunkFraming &Chunks,
                                           std::string_view Raw,
                                           std::string &Body) {
  while (!Raw.empty() && Chunks.Expected != Expect::Nothing) {
    if (Chunks.Expected == Expect::Data) {
      uint64_t Count = std::min<uint64_t>(Chunks.RemainingBytes, Raw.size());
      Body.append(Raw.substr(0, Count));
      Raw.remove_prefix(Count);
      Chunks.RemainingBytes -= Count;
      if (Chunks.RemainingBytes == 0)
        Chunks.Expected = Expect::DataEnd;
      continue;
    }
    char Byte = Raw.front();
    Raw.remove_prefix(1);
    if (Byte != '\n') {
      Chunks.Line += Byte;
      if (Chunks.Line.size() > MaxLineBytes)
        return makeTypedError(LinkErrorKind::Broken,
                              "a chunk size or trailer line is too long");
      continue;
    }
    if (!Chunks.Line.empty() && Chunks.Line.back() == '\r')
      Chunks.Line.pop_back();
    if (auto Parsed = parseLine(Chunks); !Parsed)
      return Parsed;
    Chunks.Line.clear();
  }
  return {};
}

LinkResult<void> BodyFraming::parseLine(ChunkFraming &Chunks) {
  const std::string &Line = Chunks.Line;
  switch (Chunks.Expected) {
  case Expect::Size: {
    std::string_view Digits = std::string_view(Line).substr(0, Line.find(';'));
    while (!Digits.empty() && Digits.back() == ' ')
      Digits.remove_suffix(1);
    const char *End = Digits.data() + Digits.size();
    auto [NumberEnd, Code] =
        std::from_chars(Digits.data(), End, Chunks.RemainingBytes, HexBase);
    if (Digits.empty() || Code != std::errc() || NumberEnd != End)
      return makeTypedError(LinkErrorKind::Broken, "malformed chunk size");
    Chunks.Expected =
        Chunks.RemainingBytes == 0 ? Expect::Trailer : Expect::Data;
    return {};
  }
  case Expect::DataEnd:
    if (!Line.empty())
      return makeTypedError(LinkErrorKind::Broken, "no line end after a chunk");
    Chunks.Expected = Expect::Size;
    return {};
  case Expect::Trailer:
    Chunks.TrailerBytes += Line.size() + 1;
    if (Chunks.TrailerBytes > MaxTrailerBytes)
      return makeTypedError(LinkErrorKind::Broken, "the trailer is too long");
    if (Line.empty())
      Chunks.Expected = Expect::Nothing;
    return {};
  case Expect::Data:
  case Expect::Nothing:
    break;
  }
  return {};
}

bool BodyFraming::isComplete() const {
  return match(
      Framing,
      [](const LengthFraming &Length) { return Length.RemainingBytes == 0; },
      [](const ChunkFraming &Chunks) {
        return Chunks.Expected == Expect::Nothing;
      },
      [](const CloseFraming &) { return false; });
}

uint64_t BodyFraming::safeReadBytes() const {
  return match(
      Framing,
      [](const LengthFraming &Length) { return Length.RemainingBytes; },
      [](const ChunkFraming &Chunks) -> uint64_t {
        if (Chunks.Expected == Expect::Nothing)
          return 0;
        // Lines have no length that is known ahead.
        return Chunks.Expected == Expect::Data ? Chunks.RemainingBytes : 1;
      },
      [](const CloseFraming &) {
        return std::numeric_limits<uint64_t>::max();
      });
}

bool BodyFraming::mayEndWithConnection() const {
  return isComplete() || std::holds_alternative<CloseFraming>(Framing);
}

FramingKind BodyFraming::kind() const {
  return match(
      Framing, [](const LengthFraming &) { return FramingKind::Length; },
      [](const ChunkFraming &) { return FramingKind::Chunks; },
      [](const CloseFraming &) { return FramingKind::Connection; });
}

} // namespace ferry::traffic
