#pragma once

#include "transport/Call.h"
#include "transport/http/ResponseWriter.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace nutmegrock::transport::http {

/// State of the call that a ServerConnection is serving. Used on the
/// connection's strand only.
struct ServerExchange
{
  /// Distinguishes this call from earlier ones on the same connection, whose
  /// handlers may run late.
  std::uint64_t mId = 0;
  bool mIsHead = false;
  CancellationPtr mCancellation;
  /// Counts the call as in flight.
  std::shared_ptr<void> mToken;

  /// A chunk that was read, but not yet delivered to the handler.
  std::optional<core::Expected<BodyChunk>> mReadyChunk;
  ChunkHandler mChunkHandler;
  std::string mReadBuffer;
  bool mReading = false;
  /// The body was read to its end, or failed.
  bool mBodyEnded = false;

  /// Weak, since the writer holds the connection.
  std::weak_ptr<ResponseWriter> mWriter;
  bool mResponded = false;
  bool mResponseWritten = false;
};

} // namespace nutmegrock::transport::http
