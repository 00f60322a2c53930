// Response of an executor to a settle request for a key.
namespace cpp nutmegrock.gen

struct OutcomeHeader {
  1: string name
  2: string value
}

struct SettleReply {
  1: i8 state
  2: i32 status
  3: list<OutcomeHeader> headers
  4: binary body
  5: bool body_kept
}
