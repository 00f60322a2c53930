#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace nutmegrock::proxy {

/// What a channel tells its owner. The owner must close the channel before it
/// ends.
struct ChannelHooks
{
  /// Bytes have arrived. The view holds during the call only.
  std::function<void(std::string_view)> mOnBytes;
  /// The other side has ended the connection, or it broke. aClean tells that
  /// the end was in order. Not called after Close().
  std::function<void(bool aClean)> mOnEnd;
  /// Written bytes were handed to the system; Unsent() has fallen.
  std::function<void()> mOnSent;
};

/// A non-blocking TCP connection with an outgoing buffer. All writes of one
/// step of the event loop leave with one system call, and reads share one
/// buffer of the thread, so an idle connection holds no memory for bytes. Used
/// on one thread.
class Channel : public std::enable_shared_from_this<Channel>
{
public:
  using Socket = boost::asio::ip::tcp::socket;

  /// Sets the options of the socket and waits for bytes when it is connected.
  static std::shared_ptr<Channel> Open(Socket aSocket, ChannelHooks aHooks);
  /// Connects to the endpoint; aDone tells whether that succeeded. The pointer
  /// may be closed before.
  static std::shared_ptr<Channel> Connect(
    boost::asio::io_context& aIo,
    const boost::asio::ip::tcp::endpoint& aEndpoint,
    ChannelHooks aHooks,
    std::function<void(bool)> aDone);

  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  ~Channel();

  /// Adds bytes to the outgoing buffer, which is sent at the end of this step.
  void Write(std::string_view aBytes);
  /// Bytes not yet handed to the system.
  std::size_t Unsent() const { return mOut.size() - mSent; }
  /// Stops or resumes reading; a stop leaves bytes at the sender.
  void SetPaused(bool aPaused);
  /// Ends sending once all is sent.
  void ShutdownAfterSend();
  /// Closes at once; no hook is called afterwards.
  void Close();
  bool IsClosed() const { return mClosed; }

private:
  using Code = boost::system::error_code;

  Channel(Socket aSocket, ChannelHooks aHooks);
  void SetNoDelay();
  void SetTimeouts();
  void WaitRead();
  void OnReadable();
  void ScheduleFlush();
  void Flush();
  void WaitWrite();
  void End(bool aClean);

  Socket mSocket;
  ChannelHooks mHooks;
  std::string mOut;
  std::size_t mSent = 0;
  bool mConnected = false;
  bool mFlushing = false;
  bool mReading = false;
  bool mPaused = false;
  bool mShutdown = false;
  bool mClosed = false;
};

} // namespace nutmegrock::proxy
