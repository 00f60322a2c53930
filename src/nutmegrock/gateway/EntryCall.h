#pragma once

#include "core/Time.h"
#include "gateway/Entry.h"
#include "gateway/PeerNote.h"
#include "proxy/Streams.h"
#include "quota/AllowanceClient.h"
#include "routes/RouteSet.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace nutmegrock::gateway {

/// One request at the entry node: finds its route, applies admission control,
/// sends attempts until one yields the final response, and returns that to the
/// caller.
class EntryCall final
  : public proxy::RequestSink
  , public std::enable_shared_from_this<EntryCall>
{
public:
  EntryCall(Entry& aEntry, proxy::ServerExchangePtr aExchange);

  void Start();
  core::TimePoint Deadline() const { return mDeadline; }
  /// The deadline has passed.
  void Expire();
  /// This node exits before the response.
  void EndForStop();

  void OnRequestBody(std::string_view aBytes) override;
  void OnRequestEnd() override;
  void OnDisconnect() override;
  void OnResponseSent() override;
  std::size_t HeldBytes() const override;

private:
  /// Receives the response to one attempt. Its lifetime ends with the attempt,
  /// so that late bytes of one attempt never mix with those of the next.
  class AttemptSink final : public proxy::ResponseSink
  {
  public:
    explicit AttemptSink(EntryCall& aCall)
      : mCall(aCall)
    {
    }
    void OnResponseHead(const proxy::ResponseHead& aHead) override
    {
      mCall.OnResponseHead(aHead);
    }
    void OnResponseBody(std::string_view aBytes) override
    {
      mCall.OnResponseBody(aBytes);
    }
    void OnResponseEnd() override { mCall.OnResponseEnd(); }
    void OnResponseFailed(const core::Error& aError) override
    {
      mCall.OnResponseFailed(aError);
    }
    void OnRequestSent() override { mCall.OnRequestSent(); }

  private:
    EntryCall& mCall;
  };

  void OnResponseHead(const proxy::ResponseHead& aHead);
  void OnResponseBody(std::string_view aBytes);
  void OnResponseEnd();
  void OnResponseFailed(const core::Error& aError);
  void OnRequestSent();
  /// Sends the first attempt with the body so far.
  void StopCollecting();
  bool FindRoute();
  /// Checks the key of the request if its route needs one.
  bool FindTenant();
  /// Rank of the request by its priorities. aPart in [0, 1) orders the requests
  /// of equal priorities.
  double RankWith(double aPart);
  /// That part, by the use that tenants make of a scarce service. Without
  /// tenants it follows from the identity of the request alone.
  double FairPart();
  void SetDeadline();
  bool Admit();
  /// Asks for a token of the tenant and proceeds with it.
  void TakeAllowance();
  void OnAllowance(const quota::AllowanceDecision& aDecision);
  /// The request is admitted and may be sent.
  void Proceed();
  /// Bounds the body that is kept while the request waits for a token.
  void PauseWhileWaiting();
  /// Gives back the token of a request that has not been sent to a server.
  void ReturnToken();
  /// Finds the run that made a nested call, and sets mChain and mDemandRank.
  void FindChain();
  void SendAttempt();
  PeerCall PeerCallFor(core::TimePoint aNow) const;
  /// Time that a call of the route usually takes at the service.
  core::Duration TypicalTime(core::TimePoint aNow) const;
  void SendToSelf(const PeerCall& aCall);
  void SendToPeer(const PeerCall& aCall);
  /// Reports how the current attempt ended.
  void EndAttempt(routing::AttemptOutcome aOutcome);
  void ApplyNote(const PeerNote& aNote);
  bool ShouldRetry(const core::Error& aError, bool aReachedServer);
  void Retry();
  /// Returns true if the response of a backend server should be replaced by a
  /// retry.
  bool ShouldReplace(const proxy::ResponseHead& aHead);
  void Fail(const core::Error& aError);
  /// Ends the current attempt and the call.
  void EndWith(core::Error aError, routing::AttemptOutcome aOutcome);
  /// Retry-After value for a refusal that names none.
  std::chrono::milliseconds DefaultRetryAfter(core::ErrorKind aKind) const;
  /// Closes the caller's connection in the middle of the response, so that the
  /// response cannot be taken for complete.
  void AbortResponse(const core::Error& aError);
  void SendBufferedResponse();
  /// Starts the response to the caller with mHead.
  void ForwardHead();
  void Finish();
  void LogEnd(unsigned aStatus, std::string_view aReason);
  std::string_view CallerKind() const { return mNested ? "server" : "caller"; }

  Entry& mEntry;
  proxy::ServerExchangePtr mExchange;
  routes::RouteSetPtr mRoutes;
  const routes::Route* mRoute = nullptr;
  /// Null if the request needs no key.
  const routes::Tenant* mTenant = nullptr;
  std::string mService;
  /// Availability zone in which the request is to run.
  std::string mZone;
  /// Hash of the request ID.
  std::uint64_t mHash = 0;
  /// The route is called by backend servers, or that is not known.
  bool mNested = false;
  /// The route is known to be called by backend servers.
  bool mInternal = false;
  /// The request that this call belongs to; the call itself if a caller sent
  /// it.
  overload::RequestChain mChain;
  /// See WorkItem::mDemandRank.
  double mDemandRank = 0;
  /// The run of the local backend server that made this call, if known.
  std::optional<overload::CallParent> mParent;
  core::TimePoint mArrived;
  core::TimePoint mDeadline;

  /// True while the request waits for a token of its tenant.
  bool mWaitsForToken = false;
  /// See AllowanceClient::Take().
  std::uint64_t mTicket = 0;
  /// Time until which the token can be given back, if there is one.
  std::optional<core::TimePoint> mTokenUntil;

  // The current attempt.
  std::shared_ptr<AttemptSink> mSink;
  std::uint64_t mAttemptNumber = 0;
  proxy::OutgoingRequestPtr mAttempt;
  routing::Choice mChoice;
  core::TimePoint mAttemptStartedAt;
  bool mAttemptOpen = false;
  /// Time that the request waited for a slot. A server that is slow because it
  /// is busy is judged by its load, not by its latency.
  core::Duration mAttemptQueueTime{ 0 };
  /// Bytes of heads and bodies in both directions.
  std::uint64_t mAttemptBytes = 0;
  core::CallFeedback mFeedback;
  bool mHasFeedback = false;
  bool mServerLeaving = false;

  std::vector<core::Incarnation> mTried;
  /// Number of backend servers that may have received the request.
  std::uint32_t mServersReached = 0;
  bool mPossiblyRun = false;

  /// The body so far, for retries; dropped when it becomes too long.
  std::string mReplay;
  bool mReplayable = true;
  bool mBodyEnded = false;
  /// The first attempt waits for the end of the body, or for more of it than
  /// is kept.
  bool mCollecting = false;

  proxy::ResponseHead mHead;
  std::string mBuffered;
  bool mStreaming = false;
  bool mDone = false;
};

} // namespace nutmegrock::gateway
