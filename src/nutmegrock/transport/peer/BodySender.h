#pragma once

#include "transport/Body.h"

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace nutmegrock::transport::peer {

/// Sends the rest of a body in chunks as far as the receiver's credit allows.
/// Takes nothing from the body without credit. Must be used on the strand of
/// its executor, where the hooks run too.
class BodySender : public std::enable_shared_from_this<BodySender>
{
public:
  /// Gets each chunk to send, or the error with which the body ended.
  using Emit = std::function<void(core::Expected<BodyChunk>)>;

  BodySender(boost::asio::any_io_executor aExecutor,
             BodyReaderPtr aBody,
             Emit aEmit);

  /// Cuts the first bytes, at most kChunkBytes, off the first chunk of the
  /// body. Last is set if they are the whole body.
  BodyChunk TakeFirst(BodyChunk aChunk);
  /// Sends what is beyond the first bytes.
  void Start();
  /// False if the amount is not positive or exceeds the window.
  bool AddCredit(std::int64_t aBytes);
  void Stop();

private:
  void Pump();
  void Pull();
  void OnChunk(core::Expected<BodyChunk> aChunk);

  const boost::asio::any_io_executor mExecutor;
  BodyReaderPtr mBody;
  Emit mEmit;
  BodyChunk mHeld;
  /// Bytes of mHeld that were sent.
  std::size_t mSent = 0;
  std::size_t mCredit;
  bool mStarted = false;
  bool mPulling = false;
};

} // namespace nutmegrock::transport::peer
