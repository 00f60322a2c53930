#pragma once

#include "peer_types.h"
#include "transport/Call.h"

#include <optional>
#include <string>
#include <string_view>

namespace nutmegrock::transport::peer {

/// Converts between the types of the call path and those of thrift/peer.thrift.
/// Does no I/O. All FromWire() functions fail with ProtocolError on invalid
/// values.
class PeerCodec
{
public:
  /// Appends the length and the frame. Returns false, and leaves aOut
  /// unchanged, if the frame is longer than kMaxFrameBytes.
  static bool Append(const gen::PeerFrame& aFrame, std::string& aOut);
  /// Decodes a frame without its length prefix. Fails with ProtocolError if it
  /// is malformed.
  static core::Expected<gen::PeerFrame> Decode(std::string_view aFrame);

  /// The deadline is sent as the remaining time, since the clocks of nodes
  /// differ; one that has passed is sent as 0.
  static gen::WireContext ToWire(const core::CallContext& aContext,
                                 core::TimePoint aNow);
  static core::Expected<core::CallContext> FromWire(
    const gen::WireContext& aWire,
    core::TimePoint aNow);

  /// Converts everything except the body.
  static gen::CallStart ToWire(const PeerCall& aCall, core::TimePoint aNow);
  static core::Expected<PeerCall> FromWire(gen::CallStart& aWire,
                                           core::TimePoint aNow);

  /// Converts everything except body and feedback.
  static gen::AnswerStart ToWire(const ResponseHead& aHead);
  static core::Expected<ResponseHead> FromWire(gen::AnswerStart& aWire);

  static gen::WireFeedback ToWire(const core::CallFeedback& aFeedback);
  static core::Expected<core::CallFeedback> FromWire(
    const gen::WireFeedback& aWire);

  static gen::WireError ToWire(const core::Error& aError);
  /// An unknown error becomes a ProtocolError.
  static core::Error FromWire(const gen::WireError& aWire);
};

} // namespace nutmegrock::transport::peer
