#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace nutmegrock::proxy {

/// Hooks of a channel to its owner. The owner must close the channel before
/// it is destroyed.
struct ChannelHooks
{
  /// Bytes have arrived. The view is valid during the call only.
  std::function<void(std::string_view)> mOnBytes;
  /// The connection has ended. aClean is true if the other side closed it,
  /// false after an error, also of an earlier send. Not called after Close().
  /// While an accepted
  /// connection is paused its end is noticed, too; bytes that were not read are
  /// then dropped.
  std::function<void(bool aClean)> mOnEnd;
  /// Bytes were handed to the system or dropped; Unsent() has decreased.
  std::function<void()> mOnSent;
};

/// A non-blocking TCP connection with an outgoing buffer. All writes of one
/// event loop iteration are sent with one system call, and reads share one
/// buffer per thread, so an idle connection needs no buffer memory. Used on one
/// thread.
class Channel : public std::enable_shared_from_this<Channel>
{
public:
  using Socket = boost::asio::ip::tcp::socket;

  /// Takes over an accepted socket, sets its options and starts reading.
  static std::shared_ptr<Channel> Open(Socket aSocket, ChannelHooks aHooks);
  /// Connects to the endpoint and calls aDone with true on success. The channel
  /// may be closed before; aDone is then not called.
  static std::shared_ptr<Channel> Connect(
    boost::asio::io_context& aIo,
    const boost::asio::ip::tcp::endpoint& aEndpoint,
    ChannelHooks aHooks,
    std::function<void(bool)> aDone);

  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  ~Channel();

  /// Appends bytes to the outgoing buffer, which is sent at the end of this
  /// event loop iteration.
  void Write(std::string_view aBytes);
  /// True after a send has failed. Nothing is sent any more; a connected
  /// channel reads what the other side sent before, an accepted one ends.
  bool HasSendFailed() const { return mSendFailed; }
  /// Bytes not yet handed to the system.
  std::size_t Unsent() const { return mOut.size() - mSent; }
  /// Pauses or resumes reading, as back pressure on the sender.
  void SetPaused(bool aPaused);
  /// Shuts down sending once the outgoing buffer is empty.
  void ShutdownAfterSend();
  /// Sets whether a close, or the end of this process, resets the connection,
  /// so that the other side does not take it for the end of a complete
  /// response. ShutdownAfterSend() ends that once the outgoing buffer is empty.
  void SetResetOnClose(bool aReset);
  /// Closes at once; no hook runs afterwards.
  void Close();
  /// Closes like Close(). Bytes that the other side has not received are
  /// dropped, so that it notices the end even if it does not read.
  void Abort();
  bool IsClosed() const { return mClosed; }

private:
  using Code = boost::system::error_code;

  Channel(Socket aSocket, ChannelHooks aHooks);
  void SetNoDelay();
  void SetTimeouts();
  void WaitRead();
  /// Looks for the end of the connection as long as reading is paused.
  void WatchEnd();
  bool HasPeerClosed();
  void OnReadable();
  void ScheduleFlush();
  void Flush();
  void OnSendFailed();
  void WaitWrite();
  void End(bool aClean);

  Socket mSocket;
  ChannelHooks mHooks;
  /// Runs while a paused connection is watched; null before the first pause.
  std::unique_ptr<boost::asio::steady_timer> mWatchTimer;
  std::string mOut;
  std::size_t mSent = 0;
  bool mConnected = false;
  bool mFlushPending = false;
  bool mReading = false;
  bool mPaused = false;
  bool mAccepted = false;
  bool mWatching = false;
  bool mShutdown = false;
  bool mSendFailed = false;
  bool mResetOnClose = false;
  bool mClosed = false;
};

} // namespace nutmegrock::proxy
