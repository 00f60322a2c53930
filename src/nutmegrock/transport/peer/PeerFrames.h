#pragma once

#include "peer_types.h"
#include "transport/Body.h"

#include <cstddef>
#include <cstdint>

namespace nutmegrock::transport::peer {

/// A frame with the next chunk of a body, or the error that ended it.
gen::PeerFrame
ChunkFrame(std::int64_t aCall, core::Expected<BodyChunk> aChunk);

/// A frame that grants credit for further bytes of a body.
gen::PeerFrame
CreditFrame(std::int64_t aCall, std::size_t aBytes);

/// A frame that cancels a call.
gen::PeerFrame
CancelFrame(std::int64_t aCall);

} // namespace nutmegrock::transport::peer
