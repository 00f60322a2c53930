#pragma once

#include "core/Address.h"
#include "tests/transport/Loop.h"
#include "transport/peer/PeerCodec.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace nutmegrock::tests {

/// A blocking socket for byte sequences that the clients and servers under test
/// never send. Reads fail after kWaitTimeout.
class RawSocket
{
public:
  using Socket = boost::asio::ip::tcp::socket;

  explicit RawSocket(const core::Address& aAddress)
    : mSocket(*mIo)
  {
    mSocket.connect(
      { boost::asio::ip::make_address(aAddress.mIp), aAddress.mPort });
    SetReadTimeout();
  }
  RawSocket(std::shared_ptr<boost::asio::io_context> aIo, Socket aSocket)
    : mIo(std::move(aIo))
    , mSocket(std::move(aSocket))
  {
    SetReadTimeout();
  }

  /// Ignores errors, since the other side may have closed already.
  void Write(std::string_view aBytes)
  {
    boost::system::error_code ignored;
    boost::asio::write(mSocket, boost::asio::buffer(aBytes), ignored);
  }
  /// Writes until all bytes are written, the other side closes, or it takes no
  /// bytes for aTimeout. Returns the number of bytes written.
  std::size_t TryWrite(std::string_view aBytes,
                       std::chrono::milliseconds aTimeout)
  {
    std::size_t written = 0;
    pollfd ready{ mSocket.native_handle(), POLLOUT, 0 };
    while (written < aBytes.size() &&
           ::poll(&ready, 1, static_cast<int>(aTimeout.count())) == 1) {
      const ssize_t count = ::send(mSocket.native_handle(),
                                   aBytes.data() + written,
                                   aBytes.size() - written,
                                   MSG_DONTWAIT | MSG_NOSIGNAL);
      if (count < 0) {
        break;
      }
      written += static_cast<std::size_t>(count);
    }
    return written;
  }
  void WriteFrame(const gen::PeerFrame& aFrame)
  {
    std::string bytes;
    transport::peer::PeerCodec::Append(aFrame, bytes);
    Write(bytes);
  }
  /// Returns all bytes up to and including the text, or those received until
  /// the other side closes.
  std::string ReadUntil(std::string_view aText)
  {
    std::string bytes;
    char byte = 0;
    boost::system::error_code code;
    while (!code && !bytes.ends_with(aText)) {
      if (mSocket.read_some(boost::asio::buffer(&byte, 1), code) > 0) {
        bytes += byte;
      }
    }
    return bytes;
  }
  /// Returns all bytes until the other side closes.
  std::string ReadToEnd()
  {
    std::string bytes;
    boost::system::error_code code;
    boost::asio::read(mSocket, boost::asio::dynamic_buffer(bytes), code);
    mTimedOut = code == boost::asio::error::would_block;
    mReset = code == boost::asio::error::connection_reset;
    return bytes;
  }
  /// Returns true if ReadToEnd() ended with a reset.
  bool WasReset() const { return mReset; }
  /// Discards what the other side still sends. Returns true if it closes before
  /// the timeout.
  bool WaitForClose()
  {
    ReadToEnd();
    return !mTimedOut;
  }
  /// Returns the next frame, or nothing if the other side closes.
  std::optional<gen::PeerFrame> ReadFrame()
  {
    std::uint32_t length = 0;
    boost::system::error_code code;
    boost::asio::read(
      mSocket, boost::asio::buffer(&length, sizeof(length)), code);
    if (code) {
      return std::nullopt;
    }
    std::string bytes(boost::endian::big_to_native(length), '\0');
    boost::asio::read(mSocket, boost::asio::buffer(bytes), code);
    auto frame = transport::peer::PeerCodec::Decode(bytes);
    return frame ? std::optional(std::move(*frame)) : std::nullopt;
  }
  /// Close() resets the connection.
  void ResetOnClose()
  {
    mSocket.set_option(boost::asio::socket_base::linger(true, 0));
  }
  void Close()
  {
    boost::system::error_code ignored;
    mSocket.close(ignored);
  }

private:
  void SetReadTimeout()
  {
    const timeval longest{ kWaitTimeout.count(), 0 };
    ::setsockopt(mSocket.native_handle(),
                 SOL_SOCKET,
                 SO_RCVTIMEO,
                 &longest,
                 sizeof(longest));
  }

  std::shared_ptr<boost::asio::io_context> mIo =
    std::make_shared<boost::asio::io_context>();
  Socket mSocket;
  bool mTimedOut = false;
  bool mReset = false;
};

/// A blocking listening socket.
class RawServer
{
public:
  core::Address Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }
  RawSocket Accept() { return { mIo, mAcceptor.accept() }; }
  void Close() { mAcceptor.close(); }

private:
  std::shared_ptr<boost::asio::io_context> mIo =
    std::make_shared<boost::asio::io_context>();
  boost::asio::ip::tcp::acceptor mAcceptor{
    *mIo,
    { boost::asio::ip::address_v4::loopback(), 0 }
  };
};

} // namespace nutmegrock::tests
