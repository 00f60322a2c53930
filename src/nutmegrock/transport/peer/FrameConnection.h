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
/// strand of the socket, where the hooks run too. Frames sent while a write is
/// in progress leave together in the next one.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
  using FrameHandler = std::function<void(gen::PeerFrame)>;
  /// Why the connection ended.
  using CloseHandler = std::function<void(PeerEvent, const std::string&)>;

  /// Reads nothing while more than aMaxUnsent bytes wait to be sent; 0: always
  /// reads.
  FrameConnection(boost::asio::ip::tcp::socket aSocket,
                  std::shared_ptr<PeerCounts> aCounts,
                  std::size_t aMaxUnsent);

  void Start(FrameHandler aFrame, CloseHandler aClosed);
  /// Replaces the handlers, also from within one of them.
  void SetHandlers(FrameHandler aFrame, CloseHandler aClosed);
  /// False if the frame is too large or the connection closed. aWritten runs
  /// when the frame was given to the system, and is dropped if it never is.
  bool Send(const gen::PeerFrame& aFrame, std::function<void()> aWritten = {});
  /// Counts the event, closes the socket, and later runs the close handler.
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
  /// Handles the complete frames of the buffer; false if it closed.
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
  std::vector<std::function<void()>> mOutWritten;
  std::vector<std::function<void()>> mWritingWritten;
  bool mIsWriting = false;
  bool mPaused = false;
  bool mOpen = true;
};

} // namespace nutmegrock::transport::peer
