#include "LibWire/Packing.h"
#include <Poco/DeflatingStream.h>
#include <Poco/InflatingStream.h>
#include <array>
#include <sstream>

namespace ferry::wire {

static constexpr int FastestLevel = 1;

std::string packText(const std::string &Text) {
  std::ostringstream Out;
  Poco::DeflatingOutputStream Packer(Out, Poco::DeflatingStreamBuf::STREAM_ZLIB,
                                     FastestLevel);
  Packer.write(Text.data(), static_cast<std::streamsize>(Text.size()));
  Packer.close();
  return std::move(Out).str();
}

Result<std::string, WireError> tryUnpackText(const std::string &Packed,
                                             size_t MaxBytes) {
  static constexpr size_t BufferBytes = 16 * 1024;
  std::array<char, BufferBytes> Buffer;
  std::string Text;
  if (Packed.empty())
    return Text;
  try {
    std::istringstream In(Packed);
    Poco::InflatingInputStream Unpacker(In);
    Unpacker.exceptions(std::ios::badbit);
    while (Unpacker) {
      Unpacker.read(Buffer.data(), Buffer.size());
      Text.append(Buffer.data(), static_cast<size_t>(Unpacker.gcount()));
      if (Text.size() > MaxBytes)
        return makeTypedError(WireErrorKind::TooLarge, "packed text");
    }
  } catch (const std::exception &Failure) {
    return makeTypedError(WireErrorKind::Malformed, Failure.what());
  }
  return Text;
}

} // namespace ferry::wire
