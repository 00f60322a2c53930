#pragma once

#include "transport/Body.h"

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace nutmegrock::transport::peer {

/// Sends the rest of a body in chunks within the receiver's credit. Reads
/// nothing from the body without credit. Must be used on the strand of its
/// executor, where the hooks run too.
class BodySender : public std::enable_shared_from_this<BodySender>
{
public:
  /// Receives each chunk to send, or the error that ended the body.
  using Emit = std::function<void(core::Expected<BodyChunk>)>;

  BodySender(boost::asio::any_io_executor aExecutor,
             BodyReaderPtr aBody,
             Emit aEmit);

  /// Splits the first bytes, at most kChunkBytes, off the first chunk of the
  /// body. mLast is set if they are the whole body.
  BodyChunk SplitFirst(BodyChunk aChunk);
  /// Starts to send the bytes after the first ones.
  void Start();
  /// Returns false if the amount is not positive or exceeds the window.
  bool AddCredit(std::int64_t aBytes);
  void Stop();

private:
  void SendChunks();
  void Pull();
  void OnChunk(core::Expected<BodyChunk> aChunk);

  const boost::asio::any_io_executor mExecutor;
  BodyReaderPtr mBody;
  Emit mEmit;
  BodyChunk mChunk;
  /// Bytes of mChunk already sent.
  std::size_t mSent = 0;
  std::size_t mCredit;
  bool mStarted = false;
  bool mPulling = false;
};

} // namespace nutmegrock::transport::peer
