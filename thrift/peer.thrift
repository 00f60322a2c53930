// Frames between nodes: a 4-byte big-endian length, then one PeerFrame in the
// compact protocol.
namespace cpp nutmegrock.gen

struct WireHeader {
  1: string name
  2: string value
}

struct WireContext {
  1: string request
  // Time remaining until the deadline, in microseconds.
  2: i64 deadline_us
  3: i64 max_wait_us
  4: string profile
  5: i8 importance
  6: bool idempotent
  7: i32 retry_budget
  8: i32 depth
  9: string key
}

struct WireLevel {
  1: i8 importance
  2: i8 cohort
}

struct WireFeedback {
  1: WireLevel level
  2: WireLevel level_below
  3: i32 load_permille
  4: i32 budget_returned
}

struct WireError {
  1: i8 kind
  2: string message
  3: i8 run
  4: i32 retry_after_ms
}

// First frame in each direction of a connection.
struct Hello {
  1: i32 protocol
  2: i64 incarnation
  // Highest profile version in force at the sender.
  3: i64 profile_version
  // With a shared secret: the caller sends a nonce, the server a nonce and its
  // proof, and the caller a second Hello with its proof.
  4: binary nonce
  5: binary proof
}

struct CallStart {
  1: i64 target
  2: string service_name
  3: WireContext context
  4: string method
  5: string path
  6: list<WireHeader> headers
  // -1: unknown.
  7: i64 body_size
  8: binary first_bytes
  9: bool last
}

struct AnswerStart {
  1: i32 status
  2: list<WireHeader> headers
  3: i64 body_size
  4: binary first_bytes
  5: bool last
  6: optional WireError error
  7: WireFeedback feedback
}

struct BodyChunk {
  1: binary bytes
  2: bool last
  // Set when the sender's source failed: the body is incomplete.
  3: optional WireError error
}

struct BodyCredit {
  1: i32 bytes
}

struct Cancel {
}

// A request outside the path of customer calls, for example to settle a key or
// to pull the profiles in force.
struct ControlRequest {
  1: i64 target
  2: string method
  3: binary argument
}

struct ControlAnswer {
  1: binary result
  2: optional WireError error
}

union PeerPayload {
  1: Hello hello
  2: CallStart call
  3: AnswerStart answer
  4: BodyChunk chunk
  5: BodyCredit credit
  6: Cancel cancel
  7: ControlRequest control
  8: ControlAnswer control_answer
}

struct PeerFrame {
  // Chosen by the side that started the call; never reused on a connection.
  1: i64 call
  2: PeerPayload payload
}
