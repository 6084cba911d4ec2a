// Messages and records of a whole host: copies of the description, and what a
// host keeps on its disk besides the replicated log.
namespace cpp ferry.wire

// Asks any host for the description that it has in force.
struct DescriptionFetch {
  // Nothing is sent back unless the number in force is greater.
  1: i64 HaveNumber
}

// An accepted description.
struct DescriptionCopy {
  1: i64 Number
  2: string Operation
  3: string Text
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
