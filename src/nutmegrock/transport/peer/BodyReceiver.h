#pragma once

#include "transport/Body.h"

#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace nutmegrock::transport::peer {

/// A body that arrives in frames. Buffers at most kWindowBytes, which is the
/// sender's initial credit; further credit is sent as chunks are read.
/// Thread-safe.
class BodyReceiver final : public BodyReader
{
public:
  /// Called with the credit to grant to the sender, in bytes.
  using CreditHandler = std::function<void(std::size_t)>;

  BodyReceiver(std::string aFirstBytes,
               CreditHandler aCredit,
               std::function<void()> aOnDropped);
  BodyReceiver(const BodyReceiver&) = delete;
  BodyReceiver& operator=(const BodyReceiver&) = delete;
  /// Runs the hook for a dropped body if it was not read to its end.
  ~BodyReceiver() override;

  /// Delivers all buffered bytes as one chunk.
  void Next(ChunkHandler aHandler) override;
  /// Adds a chunk; returns false if it exceeds the credit or follows the last
  /// chunk.
  bool Push(BodyChunk aChunk);
  /// Ends the body with an error and discards the buffered bytes.
  void Fail(core::Error aError);
  /// Number of buffered bytes.
  std::size_t BufferedBytes() const;

private:
  /// Takes the chunk or error to deliver, if any, and sets the credit to grant.
  /// The lock must be held.
  std::optional<core::Expected<BodyChunk>> Take(std::size_t& aCredit);

  const CreditHandler mCredit;
  const std::function<void()> mOnDropped;
  mutable std::mutex mMutex;
  ChunkHandler mHandler;
  std::string mBuffer;
  bool mHasLast = false;
  bool mReadToEnd = false;
  std::optional<core::Error> mError;
  /// Bytes that the sender may still send.
  std::size_t mAvailableCredit;
  /// Bytes read for which no credit was granted yet.
  std::size_t mPendingCredit = 0;
};

} // namespace nutmegrock::transport::peer
