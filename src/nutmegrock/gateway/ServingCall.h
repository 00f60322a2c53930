#pragma once

#include "core/Time.h"
#include "gateway/Serving.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace nutmegrock::gateway {

/// One request at the serving node: waits in the queue, then forwards the
/// request and its response between the entry node and the backend server.
class ServingCall final
  : public proxy::OutgoingRequest
  , public proxy::ResponseSink
  , public std::enable_shared_from_this<ServingCall>
{
public:
  ServingCall(Serving& aServing,
              std::uint64_t aId,
              PeerCall aCall,
              proxy::RequestHead aHead,
              std::weak_ptr<proxy::ResponseSink> aSink);

  std::uint64_t Id() const { return mId; }
  overload::WorkItem ItemFor(core::Duration aTypicalTime) const;
  core::TimePoint Deadline() const { return mDeadline; }
  bool IsRunning() const { return mState == State::Running; }
  const std::string& Route() const { return mCall.mRoute; }
  /// See PeerCall.
  std::uint32_t CallingNode() const { return mCall.mCallingNode; }
  /// Service that the run will call; empty if none.
  const std::string& Downstream() const { return mDownstream; }
  void SetDownstream(std::string aService)
  {
    mDownstream = std::move(aService);
  }
  /// Time since the request was sent to the backend server.
  core::Duration RunTime(core::TimePoint aNow) const { return aNow - mStarted; }
  /// Sends the request to the backend server.
  void Run();
  /// Ends the call with a response of this node itself.
  void Refuse(const core::Error& aError);
  /// The deadline has passed.
  void Expire();
  /// Returns true if the caller of a running call does not send its body,
  /// although all that it has sent was passed on, or does not read the
  /// response.
  bool IsStalled(core::TimePoint aNow) const;
  /// Ends the call for that reason.
  void EndStalled();

  void SendBody(std::string_view aBytes) override;
  void EndBody() override;
  std::size_t Unsent() const override;
  void PauseResponse(bool aPaused) override;
  void Cancel() override;

  void OnResponseHead(const proxy::ResponseHead& aHead) override;
  void OnResponseBody(std::string_view aBytes) override;
  void OnResponseEnd() override;
  void OnResponseFailed(const core::Error& aError) override;
  void OnRequestSent() override;

private:
  enum class State : std::uint8_t
  {
    Waiting,
    Running,
    /// The response is complete or abandoned; the body may still be in transit.
    Ended
  };

  proxy::ClientRequest RequestFor(core::TimePoint aNow) const;
  /// Releases the slot and removes the call.
  void Release(bool aSucceeded);

  Serving& mServing;
  const std::uint64_t mId;
  const PeerCall mCall;
  proxy::RequestHead mHead;
  std::weak_ptr<proxy::ResponseSink> mSink;
  proxy::OutgoingRequestPtr mBackend;
  State mState = State::Waiting;
  const core::TimePoint mArrived;
  const core::TimePoint mDeadline;
  const overload::RequestChain mChain;
  std::string mDownstream;
  core::TimePoint mStarted;
  /// Run of the server that the request was sent to.
  std::string mServerId;
  std::int64_t mServerStartedMs = 0;
  /// Body received while the call was waiting.
  std::string mBody;
  /// Time of the last progress of the body after the start, and its bytes since
  /// then.
  core::TimePoint mBodyAt;
  std::size_t mBodyProgress = 0;
  /// Since when the response is paused, if it is.
  std::optional<core::TimePoint> mPausedAt;
  bool mBodyEnded = false;
  bool mGoodStatus = false;
};

} // namespace nutmegrock::gateway
