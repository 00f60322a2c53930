#pragma once

#include "peer_types.h"
#include "transport/Call.h"

#include <optional>
#include <string>
#include <string_view>

namespace nutmegrock::transport::peer {

/// Translates between the types of the call path and those of
/// thrift/peer.thrift. Pure: no I/O, and the present time is an argument. All
/// From functions fail with ProtocolError on values that no node sends.
class PeerCodec
{
public:
  /// Appends length and frame. False, with aOut as before, if the frame is
  /// longer than kMaxFrameBytes.
  static bool Append(const gen::PeerFrame& aFrame, std::string& aOut);
  /// Reads a frame without its length.
  static core::Expected<gen::PeerFrame> Decode(std::string_view aFrame);

  /// The deadline travels as the time left, since clocks differ; one that has
  /// passed is sent as 0.
  static gen::WireContext ToWire(const core::CallContext& aContext,
                                 core::TimePoint aNow);
  static core::Expected<core::CallContext> FromWire(
    const gen::WireContext& aWire,
    core::TimePoint aNow);

  /// All but the body.
  static gen::CallStart ToWire(const PeerCall& aCall, core::TimePoint aNow);
  static core::Expected<PeerCall> FromWire(gen::CallStart& aWire,
                                           core::TimePoint aNow);

  /// All but body and feedback.
  static gen::AnswerStart ToWire(const ResponseHead& aHead);
  static core::Expected<ResponseHead> FromWire(gen::AnswerStart& aWire);

  static gen::WireFeedback ToWire(const core::CallFeedback& aFeedback);
  static core::Expected<core::CallFeedback> FromWire(
    const gen::WireFeedback& aWire);

  static gen::WireError ToWire(const core::Error& aError);
  /// The error itself; an unknown one becomes a ProtocolError.
  static core::Error FromWire(const gen::WireError& aWire);
};

} // namespace nutmegrock::transport::peer
