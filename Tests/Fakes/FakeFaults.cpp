#include "Fakes/FakeFaults.h"
#include <charconv>
#include <limits>

namespace ferry::fakes {

static std::optional<int64_t> parseNumber(std::string_view Text) {
  int64_t Number = 0;
  auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Failure != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Number;
}

bool FaultTable::set(const std::string &Text) {
  size_t Equals = Text.find('=');
  if (Equals == std::string::npos)
    return false;
  auto Name = enumFromName<Fault>(Text.substr(0, Equals));
  size_t Star = Text.find('*', Equals);
  auto Value = parseNumber(Text.substr(Equals + 1, Star - Equals - 1));
  std::optional<int64_t> Count = std::numeric_limits<int64_t>::max();
  if (Star != std::string::npos)
    Count = parseNumber(Text.substr(Star + 1));
  if (!Name || !Value || !Count)
    return false;
  set(*Name, *Value, *Count);
  return true;
}

void FaultTable::set(Fault Name, int64_t Value, int64_t Count) {
  std::lock_guard Lock(Mutex);
  Active.erase(Name);
  if (Value > 0 && Count > 0)
    Active.emplace(Name, Entry{Value, Count});
}

std::optional<int64_t> FaultTable::consume(Fault Name) {
  std::lock_guard Lock(Mutex);
  auto ActiveFault = Active.find(Name);
  if (ActiveFault == Active.end())
    return std::nullopt;
  int64_t Value = ActiveFault->second.Value;
  if (--ActiveFault->second.Remaining == 0)
    Active.erase(ActiveFault);
  return Value;
}

size_t FaultTable::active() {
  std::lock_guard Lock(Mutex);
  return Active.size();
}

} // namespace ferry::fakes
