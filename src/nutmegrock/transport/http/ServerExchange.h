#pragma once

#include "transport/Call.h"
#include "transport/http/ResponseWriter.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace nutmegrock::transport::http {

/// State of the one call that a ServerConnection serves at a time. Used on the
/// connection's strand only.
struct ServerExchange
{
  /// Distinguishes late handlers of earlier calls on the same connection.
  std::uint64_t mId = 0;
  bool mIsHead = false;
  CancellationPtr mCancellation;
  /// Counts the call as in flight.
  std::shared_ptr<void> mToken;

  /// Read, but not yet taken by the handler.
  std::optional<core::Expected<BodyChunk>> mReadyChunk;
  ChunkHandler mWantsChunk;
  std::string mReadBuffer;
  bool mReading = false;
  /// The body was read to its end, or failed.
  bool mBodyEnded = false;

  /// Weak, since the writer owns the connection.
  std::weak_ptr<ResponseWriter> mWriter;
  bool mResponded = false;
  bool mResponseWritten = false;
};

} // namespace nutmegrock::transport::http
