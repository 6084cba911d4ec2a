// Messages between the system's hosts that are common to all parts.
namespace cpp ferry.wire

// Which part of a host a payload is for.
enum PayloadKind {
  Consensus = 1,
  Membership = 2,
  RegistryRequest = 3,
  RegistryReply = 4,
  Confirmation = 5,
  DescriptionFetch = 6,
  DescriptionCopy = 7,
  WorkDigest = 8,
  EngineChanges = 9,
  Streams = 10,
  Beliefs = 11
}

// First frame of a connection, in both directions.
struct Hello {
  1: string ClusterId
  2: string HostId
  3: i64 Incarnation
  // Random bytes that the other side's proof must cover.
  4: binary Nonce
}

// Second frame: shows that the sender knows the cluster's key.
struct HelloProof {
  // HMAC-SHA256 by the cluster's key over the receiver's nonce, then the
  // sender's host id.
  1: binary Proof
}

// Every later frame.
struct Envelope {
  1: string ClusterId
  2: i64 GroupId
  3: i64 SenderIncarnation
  4: PayloadKind Kind
  // A message of that part, encoded by its own IDL.
  5: binary Payload
}
