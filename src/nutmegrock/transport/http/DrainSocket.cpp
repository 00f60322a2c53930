#include "transport/http/DrainSocket.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>

namespace nutmegrock::transport::http {

namespace {

class Drain : public std::enable_shared_from_this<Drain>
{
public:
  Drain(std::shared_ptr<boost::asio::ip::tcp::socket> aSocket,
        std::size_t aMax,
        std::function<void()> aDone)
    : mSocket(std::move(aSocket))
    , mRemaining(aMax)
    , mDone(std::move(aDone))
  {
  }

  void Read()
  {
    mSocket->async_read_some(
      boost::asio::buffer(mBytes),
      [self = shared_from_this()](boost::system::error_code aCode,
                                  std::size_t aBytes) {
        if (aCode || aBytes > self->mRemaining) {
          self->mDone();
          return;
        }
        self->mRemaining -= aBytes;
        self->Read();
      });
  }

private:
  const std::shared_ptr<boost::asio::ip::tcp::socket> mSocket;
  std::size_t mRemaining;
  const std::function<void()> mDone;
  std::array<char, 4096> mBytes{};
};

} // namespace

void
DrainSocket(std::shared_ptr<boost::asio::ip::tcp::socket> aSocket,
            std::size_t aMax,
            std::function<void()> aDone)
{
  std::make_shared<Drain>(std::move(aSocket), aMax, std::move(aDone))->Read();
}

} // namespace nutmegrock::transport::http
