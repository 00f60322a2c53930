#include "transport/peer/PeerConnector.h"

#include "transport/peer/PeerLimits.h"

#include <utility>

namespace nutmegrock::transport::peer {

namespace net = boost::asio;

PeerConnector::PeerConnector(const net::any_io_executor& aStrand,
                             const PeerClientSettings& aSettings,
                             std::shared_ptr<PeerCounts> aCounts)
  : mSettings(aSettings)
  , mCounts(std::move(aCounts))
  , mSocket(aStrand)
  , mTimer(aStrand)
  , mAuthenticator(aSettings.mSecret)
{
}

void
PeerConnector::Start(const net::ip::tcp::endpoint& aEndpoint, Done aDone)
{
  mDone = std::move(aDone);
  mTimer.expires_after(mSettings.mConnectTimeout);
  mTimer.async_wait(
    [self = shared_from_this()](boost::system::error_code aCode) {
      if (!aCode) {
        self->Fail(PeerEvent::ConnectFailed, "no Hello within the timeout");
      }
    });
  mSocket.async_connect(
    aEndpoint, [self = shared_from_this()](boost::system::error_code aCode) {
      self->OnConnected(aCode);
    });
}

void
PeerConnector::OnConnected(boost::system::error_code aCode)
{
  if (!mDone) {
    return;
  }
  if (aCode) {
    Fail(PeerEvent::ConnectFailed, aCode.message());
    return;
  }
  mConnection =
    std::make_shared<FrameConnection>(std::move(mSocket), mCounts, 0);
  mConnection->Start(
    [weak = weak_from_this()](const gen::PeerFrame& aFrame) {
      if (const auto self = weak.lock()) {
        self->OnFrame(aFrame);
      }
    },
    [weak = weak_from_this()](PeerEvent, const std::string& aReason) {
      if (const auto self = weak.lock()) {
        self->Fail(PeerEvent::ConnectFailed, aReason);
      }
    });
  gen::Hello hello;
  hello.protocol = kProtocolVersion;
  hello.incarnation = static_cast<std::int64_t>(mSettings.mIncarnation.mBits);
  if (mAuthenticator.IsRequired()) {
    hello.nonce = PeerAuthenticator::MakeNonce();
  }
  mAuthenticator.SetCaller(hello.nonce, mSettings.mIncarnation);
  gen::PeerFrame frame;
  frame.payload.__set_hello(hello);
  mConnection->Send(frame);
}

void
PeerConnector::OnFrame(const gen::PeerFrame& aFrame)
{
  if (!mDone) {
    return;
  }
  const gen::Hello& hello = aFrame.payload.hello;
  if (!aFrame.payload.__isset.hello || hello.protocol != kProtocolVersion) {
    Fail(PeerEvent::HelloFailed, "no Hello with the same protocol version");
    return;
  }
  mAuthenticator.SetServer(hello.nonce,
                           { static_cast<std::uint64_t>(hello.incarnation) });
  // A server with a secret, which sends a nonce, would reject the calls of a
  // node without one.
  if (!mAuthenticator.AcceptsServer(hello.proof) ||
      mAuthenticator.IsRequired() == hello.nonce.empty()) {
    Fail(PeerEvent::AuthenticationFailed,
         "the peer does not have the same secret");
    return;
  }
  if (mAuthenticator.IsRequired()) {
    gen::Hello proof;
    proof.protocol = kProtocolVersion;
    proof.incarnation = static_cast<std::int64_t>(mSettings.mIncarnation.mBits);
    proof.proof = mAuthenticator.CallerProof();
    gen::PeerFrame frame;
    frame.payload.__set_hello(proof);
    mConnection->Send(frame);
  }
  mTimer.cancel();
  std::exchange(mDone, {})(std::exchange(mConnection, {}));
}

void
PeerConnector::Fail(PeerEvent aEvent, const std::string& aReason)
{
  const Done done = std::exchange(mDone, {});
  if (!done) {
    return;
  }
  Abort();
  mCounts->Add(aEvent);
  done(core::Fail(core::ErrorKind::PeerUnreachable,
                  "cannot connect to the peer: " + aReason));
}

void
PeerConnector::Abort()
{
  mDone = {};
  mTimer.cancel();
  boost::system::error_code ignored;
  mSocket.close(ignored);
  if (const auto connection = std::exchange(mConnection, {})) {
    connection->Close(PeerEvent::ClosedHere, "the connection attempt failed");
  }
}

} // namespace nutmegrock::transport::peer
