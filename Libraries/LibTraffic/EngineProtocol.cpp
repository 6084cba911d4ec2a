#include "LibTraffic/EngineProtocol.h"
#include "LibTraffic/ErrorAnswer.h"
#include <algorithm>
#include <charconv>

namespace ferry::traffic {

/// Largest number of hashes in one header field; receivers limit its length.
static constexpr size_t HashesPerField = 400;
/// Longest time spent on telling an engine to cancel an attempt.
static constexpr std::chrono::milliseconds CancelLimit{500};

static std::string hexHash(cache::BlockHash Hash) {
  std::string Text(16, '0');
  static constexpr char Digits[] = "0123456789abcdef";
  for (size_t I = 0; I < Text.size(); ++I)
    Text[I] = Digits[(Hash.Value >> (60 - 4 * I)) & 0xf];
  return Text;
}

static void appendBlocks(HeaderList &Headers,
                         const std::vector<cache::BlockHash> &Blocks) {
  for (size_t Start = 0; Start < Blocks.size(); Start += HashesPerField) {
    size_t End = std::min(Blocks.size(), Start + HashesPerField);
    std::string Field;
    for (size_t I = Start; I < End; ++I)
      Field += (I > Start ? "," : "") + hexHash(Blocks[I]);
    Headers.emplace_back(BlocksHeader, Field);
  }
}

HeaderList engineHeaders(const routing::Dispatch &Dispatch,
                         const RequestId &TryId, routing::Priority Priority,
                         const std::vector<cache::BlockHash> &Blocks,
                         uint64_t FirstToken) {
  HeaderList Headers = {
      {"Content-Type", "application/json"},
      {RequestHeader, TryId.Value},
      {IncarnationHeader, std::to_string(Dispatch.Incarnation.Value)},
      {WeightsHeader, std::to_string(Dispatch.Weights.Value)},
      {"X-Priority", std::string(enumName(Priority))}};
  if (FirstToken > 0)
    Headers.emplace_back("Last-Event-ID", std::to_string(FirstToken - 1));
  for (const routing::ImportPlan &Plan : Dispatch.Imports)
    Headers.emplace_back(ImportHeader,
                         Plan.StoreAddress + " " + std::to_string(Plan.Blocks));
  appendBlocks(Headers, Blocks);
  return Headers;
}

LinkResult<void> tryCheckEcho(const TargetConnection &Connection,
                              const routing::Dispatch &Dispatch,
                              const RequestId &TryId) {
  bool IsMatch = Connection.header(RequestHeader) == TryId.Value &&
                 Connection.header(IncarnationHeader) ==
                     std::to_string(Dispatch.Incarnation.Value) &&
                 Connection.header(WeightsHeader) ==
                     std::to_string(Dispatch.Weights.Value);
  if (!IsMatch)
    return makeTypedError(LinkErrorKind::WrongEcho);
  return {};
}

uint64_t cachedTokens(const TargetConnection &Connection) {
  std::string Text = Connection.header(CachedHeader);
  uint64_t Tokens = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Tokens);
  return Tokens;
}

void cancelOnEngine(const routing::Dispatch &Dispatch, const RequestId &TryId) {
  Timestamp Deadline = steadyNow() + CancelLimit;
  auto Connection = TargetConnection::tryConnect(Dispatch.Address, Deadline);
  if (!Connection)
    return;
  std::string Body = "{\"request_id\":" + jsonString(TryId.Value) + "}";
  HeaderList Headers = {{"Content-Type", "application/json"}};
  if ((*Connection)->trySend("POST", CancelPath, Headers, Body, Deadline))
    (void)(*Connection)->tryReceiveHead({Deadline});
}

} // namespace ferry::traffic
