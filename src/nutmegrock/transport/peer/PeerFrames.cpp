#include "transport/peer/PeerFrames.h"

#include "transport/peer/PeerCodec.h"

#include <utility>

namespace nutmegrock::transport::peer {

gen::PeerFrame
ChunkFrame(std::int64_t aCall, core::Expected<BodyChunk> aChunk)
{
  gen::BodyChunk chunk;
  if (aChunk) {
    chunk.bytes = std::move(aChunk->mBytes);
    chunk.last = aChunk->mLast;
  } else {
    chunk.__set_error(PeerCodec::ToWire(aChunk.error()));
  }
  gen::PeerFrame frame;
  frame.call = aCall;
  frame.payload.__set_chunk(chunk);
  return frame;
}

gen::PeerFrame
CreditFrame(std::int64_t aCall, std::size_t aBytes)
{
  gen::BodyCredit credit;
  credit.bytes = static_cast<std::int32_t>(aBytes);
  gen::PeerFrame frame;
  frame.call = aCall;
  frame.payload.__set_credit(credit);
  return frame;
}

gen::PeerFrame
CancelFrame(std::int64_t aCall)
{
  gen::PeerFrame frame;
  frame.call = aCall;
  frame.payload.__set_cancel({});
  return frame;
}

} // namespace nutmegrock::transport::peer
