#include "ferryd/StreamExchange.h"
#include <algorithm>

namespace ferry::daemon {

using routing::StreamKey;
using routing::StreamLookups;
using wire::PayloadKind;

static wire::StreamBuild toWire(const routing::BegunStream &Stream) {
  wire::StreamBuild Fields;
  Fields.Key = static_cast<int64_t>(Stream.Key.Value);
  Fields.Build = Stream.Build.Value;
  Fields.LifetimeMillis = static_cast<int32_t>(
      std::clamp<int64_t>(millisUntil(Stream.ExpiresAt, steadyNow()), 0,
                          routing::StreamBuilds::MaxLifetime.count() / 1000));
  return Fields;
}

void StreamExchange::tell(const routing::BegunStream &Stream) {
  wire::StreamMessage Message;
  Message.__set_Begun(toWire(Stream));
  for (const HostId &Holder :
       StreamLookups::holders(Stream.Key, Callbacks.OtherRouters(),
                              StreamLookups::HoldersPerStream))
    Link.send(Holder, PayloadKind::Streams, Message);
}

void StreamExchange::ask(StreamKey Key, Timestamp Deadline, Callback Done) {
  auto Asked = Lookups.ask(Key, Callbacks.OtherRouters(), Deadline);
  if (Asked.Hosts.empty())
    return Done(std::nullopt);
  Waiting.emplace(Asked.Number, std::move(Done));
  wire::StreamMessage Message;
  wire::StreamQuestion Question;
  Question.Number = static_cast<int64_t>(Asked.Number);
  Question.Key = static_cast<int64_t>(Key.Value);
  Message.__set_Question(Question);
  for (const HostId &Host : Asked.Hosts)
    Link.send(Host, PayloadKind::Streams, Message);
  Loop.at(Deadline, [this] {
    for (const StreamLookups::Finished &End : Lookups.expire(steadyNow()))
      finish(End);
  });
}

void StreamExchange::receive(const HostId &From,
                             const wire::StreamMessage &Message) {
  if (Message.__isset.Begun)
    Callbacks.Note({{static_cast<uint64_t>(Message.Begun.Key)},
                    {Message.Begun.Build},
                    steadyNow() + std::chrono::milliseconds(std::max(
                                      Message.Begun.LifetimeMillis, 0))});
  if (Message.__isset.Question) {
    wire::StreamMessage Reply;
    wire::StreamReply Fields;
    Fields.Number = Message.Question.Number;
    auto Build = Callbacks.Find({static_cast<uint64_t>(Message.Question.Key)});
    if (Build)
      Fields.__set_Build(Build->Value);
    Reply.__set_Reply(Fields);
    Link.send(From, PayloadKind::Streams, Reply);
  }
  if (!Message.__isset.Reply)
    return;
  std::optional<BuildId> Build;
  if (Message.Reply.__isset.Build)
    Build = BuildId{Message.Reply.Build};
  if (auto End = Lookups.answer(static_cast<uint64_t>(Message.Reply.Number),
                                From, Build))
    finish(*End);
}

void StreamExchange::finish(const StreamLookups::Finished &End) {
  auto Found = Waiting.find(End.Number);
  if (Found == Waiting.end())
    return;
  Callback Done = std::move(Found->second);
  Waiting.erase(Found);
  Done(End.Build);
}

} // namespace ferry::daemon
