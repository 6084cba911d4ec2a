#include "LibTraffic/BodyFraming.h"
#include "LibCore/Visit.h"
#include <algorithm>
#include <charconv>

namespace ferry::traffic {

/// Longest line of a chunk's size or of a trailer.
static constexpr size_t MaxLineBytes = 4096;
static constexpr int HexBase = 16;

using Expect = ChunkFraming::Expect;

LinkResult<void> BodyFraming::take(std::string_view Raw, std::string &Body) {
  return match(
      Form,
      [&](LengthFraming &Length) -> LinkResult<void> {
        uint64_t Count = std::min<uint64_t>(Length.Left, Raw.size());
        Body.append(Raw.substr(0, Count));
        Length.Left -= Count;
        return {};
      },
      [&](ChunkFraming &Chunks) { return takeChunked(Chunks, Raw, Body); },
      [&](CloseFraming &) -> LinkResult<void> {
        Body.append(Raw);
        return {};
      });
}

LinkResult<void> BodyFraming::takeChunked(ChunkFraming &Chunks,
                                          std::string_view Raw,
                                          std::string &Body) {
  while (!Raw.empty() && Chunks.Next != Expect::Nothing) {
    if (Chunks.Next == Expect::Data) {
      uint64_t Count = std::min<uint64_t>(Chunks.Left, Raw.size());
      Body.append(Raw.substr(0, Count));
      Raw.remove_prefix(Count);
      Chunks.Left -= Count;
      if (Chunks.Left == 0)
        Chunks.Next = Expect::DataEnd;
      continue;
    }
    char Byte = Raw.front();
    Raw.remove_prefix(1);
    if (Byte != '\n') {
      Chunks.Line += Byte;
      if (Chunks.Line.size() > MaxLineBytes)
        return makeTypedError(LinkErrorKind::Broken, "chunk line too long");
      continue;
    }
    if (!Chunks.Line.empty() && Chunks.Line.back() == '\r')
      Chunks.Line.pop_back();
    if (auto Taken = takeLine(Chunks); !Taken)
      return Taken;
    Chunks.Line.clear();
  }
  return {};
}

LinkResult<void> BodyFraming::takeLine(ChunkFraming &Chunks) {
  const std::string &Line = Chunks.Line;
  switch (Chunks.Next) {
  case Expect::Size: {
    std::string_view Digits = std::string_view(Line).substr(0, Line.find(';'));
    while (!Digits.empty() && Digits.back() == ' ')
      Digits.remove_suffix(1);
    const char *End = Digits.data() + Digits.size();
    auto [Rest, Code] =
        std::from_chars(Digits.data(), End, Chunks.Left, HexBase);
    if (Digits.empty() || Code != std::errc() || Rest != End)
      return makeTypedError(LinkErrorKind::Broken, "chunk size");
    Chunks.Next = Chunks.Left == 0 ? Expect::Trailer : Expect::Data;
    return {};
  }
  case Expect::DataEnd:
    if (!Line.empty())
      return makeTypedError(LinkErrorKind::Broken, "chunk end");
    Chunks.Next = Expect::Size;
    return {};
  case Expect::Trailer:
    if (Line.empty())
      Chunks.Next = Expect::Nothing;
    return {};
  case Expect::Data:
  case Expect::Nothing:
    break;
  }
  return {};
}

bool BodyFraming::isComplete() const {
  return match(
      Form, [](const LengthFraming &Length) { return Length.Left == 0; },
      [](const ChunkFraming &Chunks) { return Chunks.Next == Expect::Nothing; },
      [](const CloseFraming &) { return false; });
}

bool BodyFraming::mayEndHere() const {
  return isComplete() || std::holds_alternative<CloseFraming>(Form);
}

} // namespace ferry::traffic
