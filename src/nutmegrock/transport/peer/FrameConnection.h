#pragma once

#include "peer_types.h"
#include "transport/peer/PeerCounts.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace nutmegrock::transport::peer {

/// Reads and writes frames on one socket. All functions must be called on the
/// strand of the socket, where the hooks run too. Frames sent while a write
/// is in progress are batched into the next one.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
  using FrameHandler = std::function<void(gen::PeerFrame)>;
  /// Receives the reason why the connection ended.
  using CloseHandler = std::function<void(PeerEvent, const std::string&)>;

  /// Stops reading while more than aMaxUnsent bytes wait to be sent; 0 means no
  /// limit.
  FrameConnection(boost::asio::ip::tcp::socket aSocket,
                  std::shared_ptr<PeerCounts> aCounts,
                  std::size_t aMaxUnsent);

  void Start(FrameHandler aFrame, CloseHandler aClosed);
  /// Replaces the handlers; may be called from within one of them.
  void SetHandlers(FrameHandler aFrame, CloseHandler aClosed);
  /// Returns false if the frame is too large or the connection is closed.
  /// aOnWritten runs once the frame was handed to the system, and is dropped if
  /// it never is.
  bool Send(const gen::PeerFrame& aFrame,
            std::function<void()> aOnWritten = {});
  /// Counts the event, closes the socket, and runs the close handler
  /// asynchronously.
  void Close(PeerEvent aEvent, const std::string& aReason);
  bool IsOpen() const { return mOpen; }
  boost::asio::ip::tcp::socket::executor_type Executor()
  {
    return mSocket.get_executor();
  }

private:
  using Code = boost::system::error_code;

  void SetOptions();
  void Read();
  void OnRead(Code aCode, std::size_t aBytes);
  /// Handles the complete frames in the buffer; returns false if the connection
  /// was closed.
  bool HandleFrames();
  void Write();
  void OnWritten(Code aCode);

  boost::asio::ip::tcp::socket mSocket;
  const std::shared_ptr<PeerCounts> mCounts;
  const std::size_t mMaxUnsent;
  /// Shared, so that a handler can be replaced while it runs.
  std::shared_ptr<const FrameHandler> mFrame;
  CloseHandler mClosed;
  boost::beast::flat_buffer mIn;
  std::string mOut;
  std::string mWriting;
  std::vector<std::function<void()>> mOutHooks;
  std::vector<std::function<void()>> mWritingHooks;
  bool mIsWriting = false;
  bool mPaused = false;
  bool mOpen = true;
};

} // namespace nutmegrock::transport::peer
