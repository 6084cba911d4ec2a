/// \file
/// Which build began a stream, so that a caller can take the stream up at any
/// router.
#ifndef FERRY_LIBROUTING_STREAMBUILDS_H
#define FERRY_LIBROUTING_STREAMBUILDS_H

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ferry::routing {

/// Hash of the request that brought a stream's first event, and its workspace.
using StreamKey = NumberId<struct StreamTag>;

/// \returns the key of the stream that \p Request of \p Workspace began.
StreamKey streamKey(const WorkspaceId &Workspace, const RequestId &Request);

/// A stream that a target of \p Build began.
struct BegunStream {
  StreamKey Key;
  BuildId Build;
  /// The stream cannot be taken up after this.
  Timestamp ExpiresAt;
};

/// Which build may go on with a stream that a caller takes up.
/// \param Known the build that began it, or nothing if no router knows.
/// \param Announced the build of all targets of the service, empty if they
/// announce none; nothing if there are several.
/// \param NamesRequest whether the caller names the request that began it.
/// \returns the build, empty if any may; nothing if the stream cannot go on.
std::optional<BuildId> buildToContinue(const std::optional<BuildId> &Known,
                                       const std::optional<BuildId> &Announced,
                                       bool NamesRequest);

/// The builds of begun streams that one router knows: of those it relays, and
/// of those that other routers have told it. Owns no clock; callers serialise
/// all calls.
class StreamBuilds {
public:
  /// Number of streams that are remembered. The oldest are dropped first.
  static constexpr size_t MaxStreams = 20'000;
  /// Longest time for which a stream is remembered.
  static constexpr Duration MaxLifetime = std::chrono::minutes(10);

  void note(const BegunStream &Stream, Timestamp Now);
  /// \returns the build that began the stream, or nothing if it is unknown.
  std::optional<BuildId> find(StreamKey Key, Timestamp Now) const;
  size_t size() const { return Streams.size(); }

private:
  struct Entry {
    BuildId Build;
    Timestamp ExpiresAt;
    uint64_t Number = 0;
  };

  std::unordered_map<StreamKey, Entry> Streams;
  /// Keys in the order in which they were noted.
  std::map<uint64_t, StreamKey> KeysByNumber;
  uint64_t NextNumber = 1;
};

/// The exchange of builds between routers, as one of them sees it. Owns no
/// clock, thread or socket; callers serialise all calls.
///
/// Answers the load of many short streams in a large fleet, of which few are
/// taken up: the router that begins a stream tells HoldersPerStream others,
/// chosen by rendezvous hashing, before the first event leaves. A router at
/// which a stream is taken up that it does not know asks HostsAsked of them, as
/// its view of the routers may differ and some may have ended with the stream.
/// So a message is sent for each stream, and not for each stream and router.
class StreamLookups {
public:
  static constexpr size_t HoldersPerStream = 2;
  static constexpr size_t HostsAsked = 4;

  struct Question {
    uint64_t Number = 0;
    /// Empty if there is no other router.
    std::vector<HostId> Hosts;
  };
  struct Finished {
    uint64_t Number = 0;
    std::optional<BuildId> Build;
  };

  /// \returns the first \p Count of \p Routers for the stream.
  static std::vector<HostId> holders(StreamKey Key, std::vector<HostId> Routers,
                                     size_t Count);

  /// Asks \p Routers, of which this router is none, until \p Deadline.
  Question ask(StreamKey Key, std::vector<HostId> Routers, Timestamp Deadline);

  /// Applies the answer of one router. \returns the end of the question, if it
  /// brings a build or is the last one.
  std::optional<Finished> answer(uint64_t Number, const HostId &From,
                                 const std::optional<BuildId> &Build);

  /// \returns the questions whose deadline has passed, and forgets them.
  std::vector<Finished> expire(Timestamp Now);

private:
  struct Open {
    std::vector<HostId> Unanswered;
    Timestamp Deadline;
  };

  std::map<uint64_t, Open> Questions;
  uint64_t NextNumber = 1;
};

} // namespace ferry::routing

#endif
