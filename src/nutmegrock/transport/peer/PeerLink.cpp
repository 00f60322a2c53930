#include "transport/peer/PeerLink.h"

#include "transport/peer/PeerCodec.h"
#include "transport/peer/PeerFrames.h"
#include "transport/peer/PeerLimits.h"

#include <algorithm>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace nutmegrock::transport::peer {

namespace {

namespace net = boost::asio;
using core::ErrorKind;
using core::MakeError;

} // namespace

PeerLink::PeerLink(net::io_context& aIo,
                   const PeerClientSettings& aSettings,
                   net::ip::tcp::endpoint aEndpoint,
                   std::shared_ptr<PeerCounts> aCounts)
  : mSettings(aSettings)
  , mEndpoint(std::move(aEndpoint))
  , mCounts(std::move(aCounts))
  , mStrand(aIo.get_executor())
  , mIdleTimer(mStrand)
{
}

void
PeerLink::Send(PeerCall aCall, PeerResultHandler aHandler)
{
  auto call = std::make_shared<ClientCall>(mStrand);
  call->mDeadline = aCall.mContext.mDeadline;
  call->mCall = std::move(aCall);
  call->mHandler = std::move(aHandler);
  net::dispatch(mStrand,
                [self = shared_from_this(), call] { self->StartCall(call); });
}

void
PeerLink::Control(core::Incarnation aTarget,
                  std::string aMethod,
                  std::string aArgument,
                  core::TimePoint aDeadline,
                  ControlResponseHandler aHandler)
{
  auto call = std::make_shared<ClientCall>(mStrand);
  call->mDeadline = aDeadline;
  call->mControl.target = static_cast<std::int64_t>(aTarget.mBits);
  call->mControl.method = std::move(aMethod);
  call->mControl.argument = std::move(aArgument);
  call->mControlHandler = std::move(aHandler);
  net::dispatch(mStrand,
                [self = shared_from_this(), call] { self->StartCall(call); });
}

void
PeerLink::Close()
{
  net::dispatch(mStrand, [self = shared_from_this()] {
    self->mClosed = true;
    self->mIdleTimer.cancel();
    if (const auto connector = std::exchange(self->mConnector, {})) {
      connector->Abort();
    }
    if (self->mConnection) {
      self->mConnection->Close(PeerEvent::ClosedHere, "shutting down");
    }
    self->FailPending(
      MakeError(ErrorKind::PeerUnreachable, "this node is shutting down"));
  });
}

void
PeerLink::StartCall(const ClientCallPtr& aCall)
{
  aCall->mTimer.expires_at(aCall->mDeadline);
  aCall->mTimer.async_wait(
    [self = shared_from_this(), aCall](boost::system::error_code aCode) {
      if (!aCode) {
        self->OnDeadline(aCall);
      }
    });
  if (!aCall->mCall) {
    Submit(aCall);
    return;
  }
  WatchCancellation(aCall);
  if (!aCall->mEnded) {
    PullFirstChunk(aCall);
  }
}

void
PeerLink::WatchCancellation(const ClientCallPtr& aCall)
{
  const CancellationPtr& cancellation = aCall->mCall->mCall.mCancellation;
  if (!cancellation) {
    return;
  }
  cancellation->OnCancel(
    [weak = weak_from_this(), weak_call = std::weak_ptr(aCall)] {
      const auto self = weak.lock();
      const auto call = weak_call.lock();
      if (!self || !call) {
        return;
      }
      net::dispatch(self->mStrand, [self, call] {
        self->SendCancel(call);
        self->Fail(call,
                   MakeError(ErrorKind::Cancelled, "the call was cancelled"));
      });
    });
}

void
PeerLink::PullFirstChunk(const ClientCallPtr& aCall)
{
  const Call& call = aCall->mCall->mCall;
  if (!call.mBody || call.mHead.mBodySize == 0U) {
    aCall->mFirstChunk.mLast = true;
    Submit(aCall);
    return;
  }
  const BodyReaderPtr body = call.mBody;
  body->Next(
    [self = shared_from_this(), aCall](core::Expected<BodyChunk> aChunk) {
      net::dispatch(
        self->mStrand, [self, aCall, chunk = std::move(aChunk)]() mutable {
          if (aCall->mEnded) {
            return;
          }
          if (!chunk) {
            self->Fail(aCall, std::move(chunk.error()));
            return;
          }
          if (chunk->mLast && chunk->mBytes.size() <= kChunkBytes) {
            aCall->mFirstChunk = std::move(*chunk);
          } else {
            self->MakeSender(aCall);
            aCall->mFirstChunk = aCall->mSender->SplitFirst(std::move(*chunk));
          }
          self->Submit(aCall);
        });
    });
}

void
PeerLink::MakeSender(const ClientCallPtr& aCall)
{
  aCall->mSender = std::make_shared<BodySender>(
    mStrand,
    std::move(aCall->mCall->mCall.mBody),
    [this, weak = weak_from_this(), weak_call = std::weak_ptr(aCall)](
      core::Expected<BodyChunk> aChunk) {
      const auto self = weak.lock();
      const auto call = weak_call.lock();
      if (!self || !call || call->mEnded || !mConnection) {
        return;
      }
      mConnection->Send(ChunkFrame(call->mId, aChunk));
      if (!aChunk) {
        SendCancel(call);
        Fail(call, std::move(aChunk.error()));
      }
    });
}

void
PeerLink::Submit(const ClientCallPtr& aCall)
{
  if (aCall->mEnded) {
    return;
  }
  const core::TimePoint now = core::Clock::now();
  if (now >= aCall->mDeadline) {
    OnDeadline(aCall);
  } else if (mClosed) {
    Fail(aCall,
         MakeError(ErrorKind::PeerUnreachable, "this node is shutting down"));
  } else if (IsReady()) {
    WriteStart(aCall);
  } else if (!mConnection && !mConnector && now < mNextAttempt) {
    Fail(
      aCall,
      MakeError(ErrorKind::PeerUnreachable,
                "the last connection attempt failed; backoff has not ended"));
  } else {
    // OnConnected() or OnClosed() resubmits it; a failed attempt to connect
    // fails it.
    mPending.push_back(aCall);
    if (!mConnection && !mConnector) {
      Connect();
    }
  }
}

void
PeerLink::WriteStart(const ClientCallPtr& aCall)
{
  const core::TimePoint now = core::Clock::now();
  gen::PeerFrame frame;
  frame.call = mLastId + 1;
  const bool fits =
    !aCall->mCall || aCall->mCall->mCall.mHead.mHeaders.size() <= kMaxHeaders;
  if (aCall->mCall) {
    gen::CallStart start = PeerCodec::ToWire(*aCall->mCall, now);
    start.first_bytes = std::move(aCall->mFirstChunk.mBytes);
    start.last = aCall->mFirstChunk.mLast;
    frame.payload.__set_call(start);
  } else {
    frame.payload.__set_control(aCall->mControl);
  }
  if (!fits || !mConnection->Send(frame)) {
    Fail(aCall,
         MakeError(ErrorKind::BadRequest,
                   "the headers or the argument are too large for a frame"));
    return;
  }
  mLastUse = now;
  aCall->mSentAt = now;
  aCall->mId = ++mLastId;
  mCalls.emplace(aCall->mId, aCall);
  if (aCall->mSender) {
    aCall->mSender->Start();
  }
}

void
PeerLink::OnDeadline(const ClientCallPtr& aCall)
{
  SendCancel(aCall);
  const bool silent = IsSilent(aCall);
  Fail(aCall,
       MakeError(ErrorKind::DeadlineExceeded,
                 aCall->mId == 0
                   ? "the deadline passed before the call was "
                     "sent to the peer"
                   : "no complete response from the peer before the "
                     "deadline"));
  if (silent && mConnection) {
    mConnection->Close(PeerEvent::Silent, "no frame from the peer in time");
  }
}

bool
PeerLink::IsSilent(const ClientCallPtr& aControl) const
{
  return !aControl->mCall && aControl->mId != 0 &&
         mLastFrameAt < aControl->mSentAt &&
         std::none_of(mCalls.begin(), mCalls.end(), [](const auto& aEntry) {
           return aEntry.second->mCall.has_value();
         });
}

void
PeerLink::SendCancel(const ClientCallPtr& aCall)
{
  if (aCall->mEnded || aCall->mId == 0 || !mConnection || !aCall->mCall) {
    return;
  }
  mConnection->Send(CancelFrame(aCall->mId));
}

void
PeerLink::Fail(const ClientCallPtr& aCall, core::Error aError)
{
  if (aCall->mEnded) {
    return;
  }
  End(aCall);
  aCall->ReportError(std::move(aError));
}

void
PeerLink::End(const ClientCallPtr& aCall)
{
  aCall->mEnded = true;
  aCall->mTimer.cancel();
  if (aCall->mSender) {
    aCall->mSender->Stop();
  }
  if (aCall->mId != 0) {
    mCalls.erase(aCall->mId);
    mLastUse = core::Clock::now();
    return;
  }
  const auto found = std::find(mPending.begin(), mPending.end(), aCall);
  if (found != mPending.end()) {
    mPending.erase(found);
  }
}

void
PeerLink::FailPending(const core::Error& aError)
{
  for (const auto& call : std::exchange(mPending, {})) {
    Fail(call, aError);
  }
}

void
PeerLink::Connect()
{
  mConnector = std::make_shared<PeerConnector>(mStrand, mSettings, mCounts);
  mConnector->Start(mEndpoint, [weak = weak_from_this()](auto aResult) {
    if (const auto self = weak.lock()) {
      self->OnConnected(std::move(aResult));
    }
  });
}

void
PeerLink::OnConnected(core::Expected<std::shared_ptr<FrameConnection>> aResult)
{
  mConnector.reset();
  const core::TimePoint now = core::Clock::now();
  if (!aResult) {
    mBackoff =
      std::clamp(mBackoff * 2, mSettings.mMinBackoff, mSettings.mMaxBackoff);
    mNextAttempt = now + mBackoff;
    FailPending(aResult.error());
    return;
  }
  mBackoff = core::Duration(0);
  mConnection = std::move(*aResult);
  mConnection->SetHandlers(
    [weak = weak_from_this()](gen::PeerFrame aFrame) {
      if (const auto self = weak.lock()) {
        self->OnFrame(std::move(aFrame));
      }
    },
    [weak = weak_from_this()](PeerEvent, const std::string& aReason) {
      if (const auto self = weak.lock()) {
        self->OnClosed(aReason);
      }
    });
  mLastUse = now;
  StartIdleTimer();
  for (const auto& call : std::exchange(mPending, {})) {
    Submit(call);
  }
}

void
PeerLink::OnClosed(const std::string& aReason)
{
  mConnection.reset();
  mIdleTimer.cancel();
  for (const auto& [id, call] : std::exchange(mCalls, {})) {
    Fail(call,
         MakeError(ErrorKind::PeerLost,
                   "the connection to the peer was lost: " + aReason));
  }
  for (const auto& call : std::exchange(mPending, {})) {
    Submit(call);
  }
}

void
PeerLink::StartIdleTimer()
{
  mIdleTimer.expires_at(mLastUse + mSettings.mIdleTimeout);
  mIdleTimer.async_wait(
    [self = shared_from_this()](boost::system::error_code aCode) {
      if (aCode || !self->IsReady()) {
        return;
      }
      const core::TimePoint now = core::Clock::now();
      if (!self->mCalls.empty()) {
        self->mLastUse = now;
      }
      if (now - self->mLastUse >= self->mSettings.mIdleTimeout) {
        self->mConnection->Close(PeerEvent::ClosedHere, "idle");
        return;
      }
      self->StartIdleTimer();
    });
}

void
PeerLink::OnFrame(gen::PeerFrame aFrame)
{
  mLastFrameAt = core::Clock::now();
  const auto& set = aFrame.payload.__isset;
  if (!set.answer && !set.chunk && !set.credit && !set.control_answer) {
    mConnection->Close(PeerEvent::FrameUnexpected,
                       "a frame that only a caller sends");
    return;
  }
  const auto found = mCalls.find(aFrame.call);
  if (found == mCalls.end()) {
    mCounts->Add(PeerEvent::LateFrame);
    return;
  }
  const ClientCallPtr call = found->second;
  const bool fits = call->mCall ? !set.control_answer : set.control_answer;
  if (!fits) {
    mConnection->Close(PeerEvent::FrameUnexpected,
                       "a frame that does not match the kind of call");
  } else if (set.answer) {
    OnResponse(call, aFrame.payload.answer);
  } else if (set.chunk) {
    OnChunk(call, aFrame.payload.chunk);
  } else if (set.control_answer) {
    OnControlResponse(call, aFrame.payload.control_answer);
  } else if (!call->mSender ||
             !call->mSender->AddCredit(aFrame.payload.credit.bytes)) {
    mConnection->Close(PeerEvent::CreditExceeded, "credit beyond the window");
  }
}

void
PeerLink::OnResponse(const ClientCallPtr& aCall, gen::AnswerStart& aResponse)
{
  if (aCall->mResponded || aResponse.first_bytes.size() > kChunkBytes) {
    mConnection->Close(PeerEvent::FrameUnexpected,
                       "a duplicate or invalid response");
    return;
  }
  aCall->mResponded = true;
  auto feedback = PeerCodec::FromWire(aResponse.feedback);
  auto head = PeerCodec::FromWire(aResponse);
  if (!feedback || (!head && !aResponse.__isset.error)) {
    SendCancel(aCall);
    Fail(aCall, feedback ? head.error() : feedback.error());
    return;
  }
  const PeerResultHandler handler = std::exchange(aCall->mHandler, {});
  if (aResponse.__isset.error) {
    End(aCall);
    handler(
      { tl::make_unexpected(PeerCodec::FromWire(aResponse.error)), *feedback });
    return;
  }
  Response response{ std::move(*head), MakeBody(aCall, aResponse) };
  if (aResponse.last) {
    End(aCall);
  }
  handler({ std::move(response), *feedback });
}

BodyReaderPtr
PeerLink::MakeBody(const ClientCallPtr& aCall, gen::AnswerStart& aResponse)
{
  if (aResponse.last) {
    return StringBody(std::move(aResponse.first_bytes));
  }
  const auto on_link = [weak = weak_from_this(),
                        weak_call = std::weak_ptr(aCall)](auto aAction) {
    const auto self = weak.lock();
    const auto call = weak_call.lock();
    if (self && call) {
      net::post(self->mStrand, [self, call, aAction] {
        if (!call->mEnded && self->IsReady()) {
          aAction(*self, call);
        }
      });
    }
  };
  const auto receiver = std::make_shared<BodyReceiver>(
    std::move(aResponse.first_bytes),
    [on_link](std::size_t aBytes) {
      on_link([aBytes](PeerLink& aLink, const ClientCallPtr& aLinkCall) {
        aLink.mConnection->Send(CreditFrame(aLinkCall->mId, aBytes));
      });
    },
    [on_link] {
      on_link([](PeerLink& aLink, const ClientCallPtr& aLinkCall) {
        aLink.SendCancel(aLinkCall);
        aLink.Fail(aLinkCall,
                   MakeError(ErrorKind::Cancelled,
                             "the response body was not read to its end"));
      });
    });
  aCall->mReceiver = receiver;
  return receiver;
}

void
PeerLink::OnChunk(const ClientCallPtr& aCall, gen::BodyChunk& aChunk)
{
  if (!aCall->mResponded) {
    mConnection->Close(PeerEvent::FrameUnexpected,
                       "a body before its response");
    return;
  }
  if (aChunk.__isset.error) {
    Fail(aCall, PeerCodec::FromWire(aChunk.error));
    return;
  }
  const auto receiver = aCall->mReceiver.lock();
  if (aChunk.last) {
    End(aCall);
  }
  if (receiver && !receiver->Push({ std::move(aChunk.bytes), aChunk.last })) {
    mConnection->Close(PeerEvent::CreditExceeded,
                       "a body chunk beyond its credit");
  }
}

void
PeerLink::OnControlResponse(const ClientCallPtr& aCall,
                            const gen::ControlAnswer& aResponse)
{
  const auto handler = std::exchange(aCall->mControlHandler, {});
  End(aCall);
  if (aResponse.__isset.error) {
    handler(tl::make_unexpected(PeerCodec::FromWire(aResponse.error)));
    return;
  }
  handler(aResponse.result);
}

} // namespace nutmegrock::transport::peer
