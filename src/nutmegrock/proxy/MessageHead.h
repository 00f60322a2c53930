#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace nutmegrock::proxy {

/// How the end of a body is told.
enum class BodyFraming : std::uint8_t
{
  None,
  Length,
  Chunked,
  /// The body ends with the connection; only in answers.
  UntilClose
};

/// What both kinds of messages have in common.
struct MessageHead
{
  /// End-to-end header lines as received, each with its line end, without those
  /// that have a field below.
  std::string mHeaderLines;
  std::string mRequestId;
  BodyFraming mFraming = BodyFraming::None;
  /// Body length in bytes, with BodyFraming::Length.
  std::uint64_t mLength = 0;
  /// Whether the connection stays open after the message.
  bool mKeepAlive = true;
};

/// Line and headers of a request.
struct RequestHead : MessageHead
{
  std::string mMethod;
  /// Path and query as sent.
  std::string mTarget;
  std::string mHost;
  /// Time that the sender waits, if it said so.
  std::optional<std::chrono::milliseconds> mDeadline;
  /// Value of kPeerCallHeader.
  std::string mPeerCall;
  bool mExpectsContinue = false;
};

/// Status and headers of an answer.
struct ResponseHead : MessageHead
{
  unsigned mStatus = 0;
  std::string mReason;
  /// Made by a backend server, which is to be seen by the caller.
  bool mFromBackend = false;
  /// The backend server says that it has not run the request.
  bool mNotRun = false;
  /// Time for which the sender keeps an idle connection, if it said so.
  std::optional<std::chrono::seconds> mIdleTime;
  /// Value of kPeerNoteHeader.
  std::string mPeerNote;
  /// Identity of the backend server and its load, as it gives them.
  std::string mServerId;
  std::string mLoad;

  bool IsSuccess() const { return mStatus >= 200 && mStatus < 300; }
};

} // namespace nutmegrock::proxy
