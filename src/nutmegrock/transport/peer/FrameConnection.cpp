#include "transport/peer/FrameConnection.h"

#include "transport/peer/PeerCodec.h"
#include "transport/peer/PeerLimits.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace nutmegrock::transport::peer {

namespace {

namespace net = boost::asio;

// Buffers shrink to this size between frames. A node may have 3,800 connections
// in each direction, so idle ones must be small.
constexpr std::size_t kMinBufferBytes = 4096;

constexpr std::size_t kLengthBytes = sizeof(std::uint32_t);

// A peer whose machine has failed sends no reset. The connection ends after 3
// unanswered keep-alive probes, sent every 2 s after 5 s of silence, or when
// bytes stay unacknowledged for 10 s.
constexpr int kKeepAliveIdleS = 5;
constexpr int kKeepAliveIntervalS = 2;
constexpr int kKeepAliveProbes = 3;
constexpr int kUserTimeoutMs = 10'000;

void
SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  // A failure is ignored: the protocol works without these options.
  (void)::setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue));
}

} // namespace

FrameConnection::FrameConnection(net::ip::tcp::socket aSocket,
                                 std::shared_ptr<PeerCounts> aCounts,
                                 std::size_t aMaxUnsent)
  : mSocket(std::move(aSocket))
  , mCounts(std::move(aCounts))
  , mMaxUnsent(aMaxUnsent)
{
}

void
FrameConnection::Start(FrameHandler aFrame, CloseHandler aClosed)
{
  SetHandlers(std::move(aFrame), std::move(aClosed));
  SetOptions();
  mIn.reserve(kMinBufferBytes);
  Read();
}

void
FrameConnection::SetHandlers(FrameHandler aFrame, CloseHandler aClosed)
{
  mFrame = std::make_shared<const FrameHandler>(std::move(aFrame));
  mClosed = std::move(aClosed);
}

void
FrameConnection::SetOptions()
{
  const int socket = mSocket.native_handle();
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleS);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalS);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

void
FrameConnection::Read()
{
  if (mMaxUnsent > 0 && mOut.size() + mWriting.size() > mMaxUnsent) {
    mPaused = true;
    return;
  }
  const std::size_t room = mIn.capacity() - mIn.size();
  mSocket.async_read_some(
    mIn.prepare(room > 0 ? room : kMinBufferBytes),
    [self = shared_from_this()](Code aCode, std::size_t aBytes) {
      self->OnRead(aCode, aBytes);
    });
}

void
FrameConnection::OnRead(Code aCode, std::size_t aBytes)
{
  if (!mOpen) {
    return;
  }
  if (aCode) {
    Close(PeerEvent::ClosedByPeer, aCode.message());
    return;
  }
  mIn.commit(aBytes);
  if (!HandleFrames()) {
    return;
  }
  if (mIn.size() == 0 && mIn.capacity() > 4 * kMinBufferBytes &&
      aBytes < kMinBufferBytes) {
    mIn.clear();
    mIn.shrink_to_fit();
    mIn.reserve(kMinBufferBytes);
  }
  Read();
}

bool
FrameConnection::HandleFrames()
{
  while (mOpen && mIn.size() >= kLengthBytes) {
    const auto bytes = mIn.data();
    const auto* data = static_cast<const char*>(bytes.data());
    const std::size_t length =
      boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(data));
    if (length > kMaxFrameBytes) {
      Close(PeerEvent::FrameTooLarge,
            "frame of " + std::to_string(length) + " bytes");
      return false;
    }
    if (mIn.size() < kLengthBytes + length) {
      mIn.reserve(kLengthBytes + length);
      return true;
    }
    auto frame = PeerCodec::Decode({ data + kLengthBytes, length });
    mIn.consume(kLengthBytes + length);
    if (!frame) {
      Close(PeerEvent::FrameMalformed, frame.error().mMessage);
      return false;
    }
    const auto handler = mFrame;
    (*handler)(std::move(*frame));
  }
  return mOpen;
}

bool
FrameConnection::Send(const gen::PeerFrame& aFrame,
                      std::function<void()> aOnWritten)
{
  if (!mOpen || !PeerCodec::Append(aFrame, mOut)) {
    return false;
  }
  if (aOnWritten) {
    mOutHooks.push_back(std::move(aOnWritten));
  }
  if (!mIsWriting) {
    Write();
  }
  return true;
}

void
FrameConnection::Write()
{
  mIsWriting = true;
  mWriting.clear();
  if (mWriting.capacity() > kMinBufferBytes) {
    mWriting.shrink_to_fit();
  }
  std::swap(mWriting, mOut);
  std::swap(mWritingHooks, mOutHooks);
  net::async_write(mSocket,
                   net::buffer(mWriting),
                   [self = shared_from_this()](Code aCode, std::size_t) {
                     self->OnWritten(aCode);
                   });
}

void
FrameConnection::OnWritten(Code aCode)
{
  mIsWriting = false;
  if (aCode || !mOpen) {
    Close(PeerEvent::ClosedByPeer, aCode.message());
    mWritingHooks.clear();
    mOutHooks.clear();
    return;
  }
  for (const auto& written : std::exchange(mWritingHooks, {})) {
    written();
  }
  mWriting.clear();
  if (mOpen && !mOut.empty() && !mIsWriting) {
    Write();
  }
  if (mOpen && mPaused) {
    mPaused = false;
    Read();
  }
}

void
FrameConnection::Close(PeerEvent aEvent, const std::string& aReason)
{
  if (!mOpen) {
    return;
  }
  mOpen = false;
  mCounts->Add(aEvent);
  Code ignored;
  mSocket.close(ignored);
  mOutHooks.clear();
  // Posted, since Close() may run while the owner is sending.
  net::post(mSocket.get_executor(),
            [self = shared_from_this(), aEvent, aReason] {
              const CloseHandler closed = std::exchange(self->mClosed, {});
              self->mFrame.reset();
              if (closed) {
                closed(aEvent, aReason);
              }
            });
}

} // namespace nutmegrock::transport::peer
