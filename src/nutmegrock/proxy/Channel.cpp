#include "proxy/Channel.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <chrono>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace nutmegrock::proxy {

namespace {

namespace net = boost::asio;

/// Maximum bytes read with one system call.
constexpr std::size_t kReadBytes = std::size_t{ 64 } * 1024;

/// The connection ends when sent bytes stay unacknowledged for this many
/// milliseconds. Only this detects a broken link or a silent connection. It
/// covers two retransmissions on a lossy link.
constexpr unsigned kUserTimeoutMs = 1200;

/// Seconds without bytes after which a connection is probed. While a response
/// is awaited nothing is sent, so no byte can stay unacknowledged if the
/// receiver has failed.
constexpr int kKeepAliveIdleS = 2;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;

/// Interval at which a paused connection is checked for its end.
constexpr std::chrono::milliseconds kWatchInterval{ 100 };

/// Capacity in bytes above which an empty outgoing buffer is released.
constexpr std::size_t kMaxKeptBuffer = std::size_t{ 16 } * 1024;

} // namespace

Channel::Channel(Socket aSocket, ChannelHooks aHooks)
  : mSocket(std::move(aSocket))
  , mHooks(std::move(aHooks))
{
}

Channel::~Channel()
{
  Close();
}

std::shared_ptr<Channel>
Channel::Open(Socket aSocket, ChannelHooks aHooks)
{
  std::shared_ptr<Channel> channel(
    new Channel(std::move(aSocket), std::move(aHooks)));
  channel->mConnected = true;
  channel->mAccepted = true;
  channel->SetNoDelay();
  channel->WaitRead();
  return channel;
}

std::shared_ptr<Channel>
Channel::Connect(net::io_context& aIo,
                 const net::ip::tcp::endpoint& aEndpoint,
                 ChannelHooks aHooks,
                 std::function<void(bool)> aDone)
{
  std::shared_ptr<Channel> channel(new Channel(Socket(aIo), std::move(aHooks)));
  channel->mSocket.async_connect(
    aEndpoint, [channel, done = std::move(aDone)](Code aCode) {
      if (channel->mClosed) {
        return;
      }
      if (aCode) {
        channel->Close();
        done(false);
        return;
      }
      channel->mConnected = true;
      channel->SetNoDelay();
      channel->SetTimeouts();
      channel->WaitRead();
      if (channel->Unsent() > 0) {
        channel->ScheduleFlush();
      }
      done(true);
    });
  return channel;
}

void
Channel::SetNoDelay()
{
  Code ignored;
  mSocket.set_option(net::ip::tcp::no_delay(true), ignored);
}

// Only the side that waits for a response has to detect a silent connection.
// Each option costs a system call, and callers open many short connections.
void
Channel::SetTimeouts()
{
  Code ignored;
  mSocket.set_option(net::socket_base::keep_alive(true), ignored);
  const int fd = mSocket.native_handle();
  // A failure leaves the defaults of the system, with which a silent connection
  // is detected later.
  setsockopt(
    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs, sizeof kUserTimeoutMs);
  setsockopt(
    fd, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleS, sizeof kKeepAliveIdleS);
  setsockopt(fd,
             IPPROTO_TCP,
             TCP_KEEPINTVL,
             &kKeepAliveIntervalS,
             sizeof kKeepAliveIntervalS);
  setsockopt(
    fd, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes, sizeof kKeepAliveProbes);
}

void
Channel::WaitRead()
{
  if (mReading || mPaused || mClosed || !mConnected) {
    return;
  }
  mReading = true;
  mSocket.async_wait(net::socket_base::wait_read,
                     [self = shared_from_this()](Code aCode) {
                       self->mReading = false;
                       if (!aCode && !self->mClosed && !self->mPaused) {
                         self->OnReadable();
                       }
                     });
}

void
Channel::OnReadable()
{
  static thread_local std::array<char, kReadBytes> sBuffer;
  // Does not use asio, which would need another system call to make the socket
  // non-blocking.
  const ssize_t bytes =
    recv(mSocket.native_handle(), sBuffer.data(), sBuffer.size(), MSG_DONTWAIT);
  if (bytes < 0 && (errno == EAGAIN || errno == EINTR)) {
    WaitRead();
    return;
  }
  if (bytes <= 0) {
    // A failed send takes the error from the socket, and the read then reports
    // the end of the stream after a reset, too.
    End(bytes == 0 && !mSendFailed);
    return;
  }
  mHooks.mOnBytes({ sBuffer.data(), static_cast<std::size_t>(bytes) });
  WaitRead();
}

void
Channel::SetPaused(bool aPaused)
{
  mPaused = aPaused;
  WaitRead();
  WatchEnd();
}

// The readiness to read does not tell the end from bytes that are left unread.
void
Channel::WatchEnd()
{
  if (!mAccepted || !mPaused || mWatching || mClosed) {
    return;
  }
  if (!mWatchTimer) {
    mWatchTimer = std::make_unique<net::steady_timer>(mSocket.get_executor());
  }
  mWatching = true;
  mWatchTimer->expires_after(kWatchInterval);
  mWatchTimer->async_wait([self = shared_from_this()](Code aCode) {
    self->mWatching = false;
    if (aCode || self->mClosed || !self->mPaused) {
      return;
    }
    if (self->HasPeerClosed()) {
      self->End(true);
      return;
    }
    self->WatchEnd();
  });
}

bool
Channel::HasPeerClosed()
{
  pollfd state{ mSocket.native_handle(), POLLRDHUP, 0 };
  constexpr int kEnds = POLLRDHUP | POLLHUP | POLLERR;
  return poll(&state, 1, 0) > 0 && (state.revents & kEnds) != 0;
}

void
Channel::Write(std::string_view aBytes)
{
  if (mClosed || mSendFailed) {
    return;
  }
  mOut += aBytes;
  if (mConnected) {
    ScheduleFlush();
  }
}

void
Channel::ScheduleFlush()
{
  if (mFlushPending || mClosed) {
    return;
  }
  mFlushPending = true;
  net::post(mSocket.get_executor(), [self = shared_from_this()] {
    self->mFlushPending = false;
    self->Flush();
  });
}

void
Channel::Flush()
{
  if (mClosed || !mConnected) {
    return;
  }
  if (Unsent() > 0) {
    const ssize_t sent = send(mSocket.native_handle(),
                              mOut.data() + mSent,
                              Unsent(),
                              MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
      OnSendFailed();
      return;
    }
    mSent += sent > 0 ? static_cast<std::size_t>(sent) : 0;
  }
  if (Unsent() > 0) {
    WaitWrite();
  } else {
    mOut.clear();
    mSent = 0;
    if (mOut.capacity() > kMaxKeptBuffer) {
      mOut.shrink_to_fit();
    }
    if (mShutdown) {
      if (mResetOnClose) {
        SetResetOnClose(false);
      }
      Code ignored;
      mSocket.shutdown(Socket::shutdown_send, ignored);
    }
  }
  if (mHooks.mOnSent) {
    mHooks.mOnSent();
  }
}

// The bytes that are dropped leave a gap, so none may follow them.
void
Channel::OnSendFailed()
{
  mSendFailed = true;
  mOut.clear();
  mSent = 0;
  if (mAccepted) {
    // The end of the stream could be taken for the end of a response.
    SetResetOnClose(true);
    End(false);
    return;
  }
  // The peer may have responded before it closed, so its bytes are read first.
  // One that did not close learns that the request is incomplete.
  Code ignored;
  mSocket.shutdown(Socket::shutdown_send, ignored);
  if (mHooks.mOnSent) {
    mHooks.mOnSent();
  }
}

void
Channel::WaitWrite()
{
  mFlushPending = true;
  mSocket.async_wait(net::socket_base::wait_write,
                     [self = shared_from_this()](Code aCode) {
                       self->mFlushPending = false;
                       if (!aCode) {
                         self->Flush();
                       }
                     });
}

void
Channel::ShutdownAfterSend()
{
  mShutdown = true;
  ScheduleFlush();
}

void
Channel::SetResetOnClose(bool aReset)
{
  mResetOnClose = aReset;
  Code ignored;
  mSocket.set_option(net::socket_base::linger(aReset, 0), ignored);
}

void
Channel::End(bool aClean)
{
  if (mClosed) {
    return;
  }
  const auto hook = mHooks.mOnEnd;
  Close();
  if (hook) {
    hook(aClean);
  }
}

void
Channel::Abort()
{
  int unsent = 0;
  if (mConnected && !mClosed &&
      ioctl(mSocket.native_handle(), SIOCOUTQ, &unsent) == 0 && unsent > 0) {
    Code ignored;
    mSocket.set_option(net::socket_base::linger(true, 0), ignored);
  }
  Close();
}

void
Channel::Close()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  if (mWatchTimer) {
    mWatchTimer->cancel();
  }
  Code ignored;
  mSocket.close(ignored);
  // The hooks may own this channel's owner. They are released in a later
  // event loop iteration, since one of them may be running.
  net::post(mSocket.get_executor(), [hooks = std::move(mHooks)] {});
  mHooks = {};
}

} // namespace nutmegrock::proxy
