// Datagrams between nodes, one WireDatagram each in the compact protocol, and
// the argument and result of the control request "members.pull".
namespace cpp nutmegrock.gen

struct WireMember {
  1: i64 incarnation
  2: string ip
  3: i32 port
  4: string service_name
  5: string region
  6: string availability_zone
  7: i32 slots
  8: i32 connections
  9: i8 state
  10: i64 version
  11: i64 joined_ms
}

struct WireChange {
  1: WireMember member
  2: i8 liveness
  3: i64 refutation
  // Time since the member was declared dead or left, in milliseconds.
  4: i64 age_ms
  // Incarnation whose probe caused the suspicion; 0: not suspected.
  5: i64 accuser
}

struct WireDatagram {
  1: i8 kind
  // Fields 2 to 6 describe the sender.
  2: i64 incarnation
  3: i64 refutation
  4: i64 record_version
  5: i64 profile_version
  6: i64 sequence
  // Ping: intended receiver. Ack: the node that responded. 0: unknown.
  7: i64 target
  // Address of the target, only in a ping request.
  8: optional string target_ip
  9: optional i32 target_port
  10: optional bool negative
  11: optional bool wants_record
  12: optional list<WireChange> changes
  // Time since the profiles of the sender were known to be the newest of the
  // store, and the store's clock at that time, in milliseconds.
  13: optional i32 profile_age_ms
  14: optional i64 store_ms
}

struct TablePull {
  // Digest of each bucket of the requesting node's table; empty at join.
  1: list<i64> digests
  // First bucket requested.
  2: i32 bucket
}

struct TablePage {
  1: list<WireChange> changes
  // First bucket that is not in this page; the number of buckets after the last
  // page.
  2: i32 next_bucket
}
