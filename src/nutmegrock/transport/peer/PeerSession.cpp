#include "transport/peer/PeerSession.h"

#include "transport/peer/PeerCodec.h"
#include "transport/peer/PeerFrames.h"
#include "transport/peer/PeerLimits.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace nutmegrock::transport::peer {

namespace {

namespace net = boost::asio;
using core::ErrorKind;
using core::MakeError;

} // namespace

PeerSession::PeerSession(net::ip::tcp::socket aSocket,
                         std::shared_ptr<PeerServerState> aServer)
  : mServer(std::move(aServer))
  , mConnection(std::make_shared<FrameConnection>(std::move(aSocket),
                                                  mServer->Counts(),
                                                  kMaxUnsentBytes))
  , mTimer(mConnection->Executor())
  , mAuthenticator(mServer->Settings().mSecret)
{
}

void
PeerSession::Start()
{
  net::dispatch(mConnection->Executor(), [self = shared_from_this()] {
    self->mLastUse = core::Clock::now();
    self->StartTimer();
    // The timer keeps the session alive while the connection is open.
    self->mConnection->Start(
      [weak = self->weak_from_this()](gen::PeerFrame aFrame) {
        if (const auto session = weak.lock()) {
          session->OnFrame(aFrame);
        }
      },
      [weak = self->weak_from_this()](PeerEvent, const std::string&) {
        if (const auto session = weak.lock()) {
          session->OnClosed();
        }
      });
  });
}

void
PeerSession::Close()
{
  net::dispatch(mConnection->Executor(), [self = shared_from_this()] {
    self->mConnection->Close(PeerEvent::ClosedHere, "shutting down");
  });
}

void
PeerSession::StartTimer()
{
  const PeerServerSettings& settings = mServer->Settings();
  mTimer.expires_at(mLastUse +
                    (mReady ? settings.mIdleTimeout : settings.mHelloTimeout));
  mTimer.async_wait(
    [self = shared_from_this()](boost::system::error_code aCode) {
      if (!aCode) {
        self->OnTimer();
      }
    });
}

void
PeerSession::OnTimer()
{
  const core::TimePoint now = core::Clock::now();
  if (now >= mTimer.expiry() && !mReady) {
    mConnection->Close(PeerEvent::HelloFailed, "no Hello within the timeout");
  } else if (!mCalls.empty() || mPendingControls > 0) {
    mLastUse = now;
  } else if (now - mLastUse >= mServer->Settings().mIdleTimeout) {
    mConnection->Close(PeerEvent::ClosedHere, "idle");
  }
  if (mConnection->IsOpen()) {
    StartTimer();
  }
}

void
PeerSession::OnClosed()
{
  mTimer.cancel();
  mServer->Remove(this);
  for (const auto& [id, call] : std::exchange(mCalls, {})) {
    call->mCancellation->Cancel();
    if (const auto receiver = call->mReceiver.lock()) {
      receiver->Fail(MakeError(ErrorKind::BodyIncomplete,
                               "the connection from the peer was lost"));
    }
    if (call->mSender) {
      call->mSender->Stop();
    }
  }
}

void
PeerSession::OnFrame(gen::PeerFrame& aFrame)
{
  const auto& set = aFrame.payload.__isset;
  if (set.hello) {
    OnHello(aFrame.payload.hello);
  } else if (!mReady) {
    mConnection->Close(mHelloReceived ? PeerEvent::AuthenticationFailed
                                      : PeerEvent::HelloFailed,
                       "a frame before the end of the Hello exchange");
  } else if (set.call) {
    OnCall(aFrame.call, aFrame.payload.call);
  } else if (set.chunk) {
    OnChunk(aFrame.call, aFrame.payload.chunk);
  } else if (set.credit) {
    OnCredit(aFrame.call, aFrame.payload.credit);
  } else if (set.cancel) {
    OnCancel(aFrame.call);
  } else if (set.control) {
    OnControl(aFrame.call, aFrame.payload.control);
  } else {
    mConnection->Close(PeerEvent::FrameUnexpected,
                       "a frame that only a server sends");
  }
}

void
PeerSession::OnHello(const gen::Hello& aHello)
{
  if (mReady || aHello.protocol != kProtocolVersion) {
    mConnection->Close(PeerEvent::HelloFailed,
                       "a second Hello, or one with another protocol version");
  } else if (!mHelloReceived) {
    mHelloReceived = true;
    RespondToHello(aHello);
    mReady = !mAuthenticator.IsRequired();
  } else if (mAuthenticator.AcceptsCaller(aHello.proof)) {
    mReady = true;
  } else {
    mConnection->Close(PeerEvent::AuthenticationFailed, "wrong proof");
  }
}

void
PeerSession::RespondToHello(const gen::Hello& aHello)
{
  mCaller = { static_cast<std::uint64_t>(aHello.incarnation) };
  const core::Incarnation own = mServer->Settings().mIncarnation;
  gen::Hello hello;
  hello.protocol = kProtocolVersion;
  hello.incarnation = static_cast<std::int64_t>(own.mBits);
  if (mAuthenticator.IsRequired()) {
    hello.nonce = PeerAuthenticator::MakeNonce();
  }
  mAuthenticator.SetCaller(aHello.nonce, mCaller);
  mAuthenticator.SetServer(hello.nonce, own);
  hello.proof = mAuthenticator.ServerProof();
  gen::PeerFrame frame;
  frame.payload.__set_hello(hello);
  mConnection->Send(frame);
}

bool
PeerSession::IsForThisIncarnation(std::int64_t aTarget) const
{
  const core::Incarnation target{ static_cast<std::uint64_t>(aTarget) };
  return !target.IsKnown() || target == mServer->Settings().mIncarnation;
}

bool
PeerSession::AcceptId(std::int64_t aId)
{
  if (aId <= mLastId) {
    mConnection->Close(PeerEvent::FrameUnexpected, "a reused call id");
    return false;
  }
  mLastId = aId;
  mLastUse = core::Clock::now();
  return true;
}

void
PeerSession::OnCall(std::int64_t aId, gen::CallStart& aStart)
{
  if (!AcceptId(aId)) {
    return;
  }
  if (aStart.first_bytes.size() > kChunkBytes) {
    mConnection->Close(PeerEvent::FrameUnexpected, "too many first bytes");
    return;
  }
  auto peer_call = PeerCodec::FromWire(aStart, core::Clock::now());
  if (!peer_call) {
    SendError(aId, peer_call.error(), {}, {});
    return;
  }
  if (!IsForThisIncarnation(aStart.target)) {
    core::CallFeedback feedback;
    feedback.mBudgetReturned = peer_call->mContext.mRetryBudget;
    SendError(aId,
              MakeError(ErrorKind::WrongIncarnation,
                        "the call is for another incarnation of this node"),
              feedback,
              {});
    return;
  }
  auto call = std::make_shared<ServerCall>();
  call->mId = aId;
  call->mCancellation = std::make_shared<Cancellation>();
  call->mToken = mServer->StartCall();
  mCalls.emplace(aId, call);
  peer_call->mCall.mCancellation = call->mCancellation;
  peer_call->mCall.mBody = MakeBody(call, aStart);
  mServer->Calls()(std::move(*peer_call),
                   [self = shared_from_this(), call, token = call->mToken](
                     PeerResult aResult) {
                     net::dispatch(
                       self->mConnection->Executor(),
                       [self, call, result = std::move(aResult)]() mutable {
                         self->OnResult(call, std::move(result));
                       });
                   });
}

BodyReaderPtr
PeerSession::MakeBody(const ServerCallPtr& aCall, gen::CallStart& aStart)
{
  if (aStart.last) {
    return StringBody(std::move(aStart.first_bytes));
  }
  const auto receiver = std::make_shared<BodyReceiver>(
    std::move(aStart.first_bytes),
    [weak = weak_from_this(), id = aCall->mId](std::size_t aBytes) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      net::post(self->mConnection->Executor(), [self, id, aBytes] {
        if (self->mCalls.contains(id)) {
          self->mConnection->Send(CreditFrame(id, aBytes));
        }
      });
    },
    std::function<void()>());
  aCall->mReceiver = receiver;
  return receiver;
}

void
PeerSession::OnChunk(std::int64_t aId, gen::BodyChunk& aChunk)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    mServer->Counts()->Add(PeerEvent::LateFrame);
    return;
  }
  const auto receiver = found->second->mReceiver.lock();
  if (!receiver) {
    // The handler dropped the body, so its chunks are ignored.
    return;
  }
  if (aChunk.__isset.error) {
    receiver->Fail(PeerCodec::FromWire(aChunk.error));
  } else if (!receiver->Push({ std::move(aChunk.bytes), aChunk.last })) {
    mConnection->Close(PeerEvent::CreditExceeded,
                       "a body chunk beyond its credit or after the last one");
  }
}

void
PeerSession::OnCredit(std::int64_t aId, const gen::BodyCredit& aCredit)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    mServer->Counts()->Add(PeerEvent::LateFrame);
  } else if (!found->second->mSender ||
             !found->second->mSender->AddCredit(aCredit.bytes)) {
    mConnection->Close(PeerEvent::CreditExceeded, "credit beyond the window");
  }
}

void
PeerSession::OnCancel(std::int64_t aId)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    mServer->Counts()->Add(PeerEvent::LateFrame);
    return;
  }
  const ServerCallPtr call = found->second;
  End(call);
  call->mCancellation->Cancel();
}

void
PeerSession::OnControl(std::int64_t aId, gen::ControlRequest& aRequest)
{
  if (!AcceptId(aId)) {
    return;
  }
  if (!IsForThisIncarnation(aRequest.target)) {
    SendControlResponse(
      aId,
      core::Fail(ErrorKind::WrongIncarnation,
                 "the request is for another incarnation of this "
                 "node"));
    return;
  }
  ++mPendingControls;
  mServer->Controls()(
    mCaller,
    std::move(aRequest.method),
    std::move(aRequest.argument),
    [self = shared_from_this(), aId](core::Expected<std::string> aResult) {
      net::dispatch(self->mConnection->Executor(),
                    [self, aId, result = std::move(aResult)]() mutable {
                      --self->mPendingControls;
                      self->mLastUse = core::Clock::now();
                      self->SendControlResponse(aId, std::move(result));
                    });
    });
}

void
PeerSession::OnResult(const ServerCallPtr& aCall, PeerResult aResult)
{
  if (aCall->mResponded || !mCalls.contains(aCall->mId)) {
    return;
  }
  aCall->mResponded = true;
  aCall->mFeedback = aResult.mFeedback;
  if (aResult.mResponse) {
    aCall->mResponse = std::move(*aResult.mResponse);
    PullFirstChunk(aCall);
    return;
  }
  SendError(
    aCall->mId, aResult.mResponse.error(), aCall->mFeedback, aCall->mToken);
  End(aCall);
}

void
PeerSession::PullFirstChunk(const ServerCallPtr& aCall)
{
  const BodyReaderPtr body = aCall->mResponse.mBody;
  if (!body) {
    SendResponse(aCall, { {}, true });
    return;
  }
  body->Next(
    [self = shared_from_this(), aCall](core::Expected<BodyChunk> aChunk) {
      net::dispatch(self->mConnection->Executor(),
                    [self, aCall, chunk = std::move(aChunk)]() mutable {
                      if (!self->mCalls.contains(aCall->mId)) {
                        return;
                      }
                      if (!chunk) {
                        self->SendError(aCall->mId,
                                        chunk.error(),
                                        aCall->mFeedback,
                                        aCall->mToken);
                        self->End(aCall);
                        return;
                      }
                      self->SendResponse(aCall, std::move(*chunk));
                    });
    });
}

void
PeerSession::SendResponse(const ServerCallPtr& aCall, BodyChunk aFirst)
{
  if (!aFirst.mLast || aFirst.mBytes.size() > kChunkBytes) {
    aCall->mSender = std::make_shared<BodySender>(
      mConnection->Executor(),
      std::move(aCall->mResponse.mBody),
      [weak = weak_from_this(),
       weak_call = std::weak_ptr(aCall)](core::Expected<BodyChunk> aChunk) {
        const auto self = weak.lock();
        const auto call = weak_call.lock();
        if (self && call) {
          self->SendChunk(call, std::move(aChunk));
        }
      });
    aFirst = aCall->mSender->SplitFirst(std::move(aFirst));
  }
  gen::AnswerStart response = PeerCodec::ToWire(aCall->mResponse.mHead);
  response.feedback = PeerCodec::ToWire(aCall->mFeedback);
  response.first_bytes = std::move(aFirst.mBytes);
  response.last = aFirst.mLast;
  gen::PeerFrame frame;
  frame.call = aCall->mId;
  frame.payload.__set_answer(response);
  const bool fits = aCall->mResponse.mHead.mHeaders.size() <= kMaxHeaders;
  if (!fits || !mConnection->Send(frame, [token = aCall->mToken] {})) {
    SendError(
      aCall->mId,
      MakeError(ErrorKind::BackendProtocol,
                "the headers of the response are too large for a frame"),
      aCall->mFeedback,
      aCall->mToken);
    End(aCall);
  } else if (aFirst.mLast) {
    End(aCall);
  } else {
    aCall->mSender->Start();
  }
}

void
PeerSession::SendChunk(const ServerCallPtr& aCall,
                       core::Expected<BodyChunk> aChunk)
{
  const bool ends = !aChunk || aChunk->mLast;
  mConnection->Send(ChunkFrame(aCall->mId, std::move(aChunk)),
                    [token = aCall->mToken] {});
  if (ends) {
    End(aCall);
  }
}

void
PeerSession::SendError(std::int64_t aId,
                       const core::Error& aError,
                       const core::CallFeedback& aFeedback,
                       std::shared_ptr<void> aToken)
{
  gen::AnswerStart response;
  response.status =
    static_cast<std::int32_t>(core::RowOf(aError.mKind).mStatus);
  response.body_size = 0;
  response.last = true;
  response.feedback = PeerCodec::ToWire(aFeedback);
  response.__set_error(PeerCodec::ToWire(aError));
  gen::PeerFrame frame;
  frame.call = aId;
  frame.payload.__set_answer(response);
  mConnection->Send(frame, [token = std::move(aToken)] {});
}

void
PeerSession::SendControlResponse(std::int64_t aId,
                                 core::Expected<std::string> aResult)
{
  gen::PeerFrame frame;
  frame.call = aId;
  gen::ControlAnswer response;
  if (aResult) {
    response.result = std::move(*aResult);
    frame.payload.__set_control_answer(response);
    if (mConnection->Send(frame)) {
      return;
    }
    aResult =
      core::Fail(ErrorKind::Internal, "the result is too large for a frame");
    response.result.clear();
  }
  response.__set_error(PeerCodec::ToWire(aResult.error()));
  frame.payload.__set_control_answer(response);
  mConnection->Send(frame);
}

void
PeerSession::End(const ServerCallPtr& aCall)
{
  mCalls.erase(aCall->mId);
  mLastUse = core::Clock::now();
  aCall->mToken.reset();
  if (aCall->mSender) {
    aCall->mSender->Stop();
  }
  // The caller stops sending the body once it has received the complete
  // response.
  if (const auto receiver = aCall->mReceiver.lock()) {
    receiver->Fail(MakeError(ErrorKind::BodyIncomplete, "the call has ended"));
  }
  aCall->mResponse = {};
}

} // namespace nutmegrock::transport::peer
