// Messages and records of a whole host: copies of the description, and what a
// host keeps on its disk besides the replicated log.
namespace cpp ferry.wire

// Asks any host for the description that it has in force.
struct DescriptionFetch {
  // Without PieceOf, nothing is sent back unless the number in force is greater.
  1: i64 HaveNumber
  // The asker takes the packed text in pieces, one after the other, and wants the one of
  // that number at Offset; 0 for the first piece of the newest. Older hosts do not set
  // it and get the whole text; they send it, too.
  2: optional i64 PieceOf
  3: optional i32 Offset
}

// An accepted description.
struct DescriptionCopy {
  1: i64 Number
  2: string Operation
  3: string Text
  // In place of Text, the bytes at Offset of the packed text, which has PackedBytes. A
  // piece of a number that the asker has says that there is nothing newer.
  4: optional binary Piece
  5: optional i32 Offset
  6: optional i32 PackedBytes
  // Number of the description with which the cache that workspaces share began. In a
  // message of pieces it comes with the first one.
  7: optional i64 SharedCacheSince
}

// What a host with a disk remembers across restarts.
struct HostState {
  1: i64 Incarnation
  2: DescriptionCopy Description
}

// A record in a file, with the XXH3 checksum of its bytes.
struct CheckedRecord {
  1: i64 Checksum
  2: binary Bytes
}
