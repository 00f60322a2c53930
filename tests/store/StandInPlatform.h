#pragma once

#include "core/Address.h"
#include "standins/standin_platform/PlatformServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <stdexcept>

namespace nutmegrock::tests {

/// Returns a port that the system reported as free. cpprestsdk's listener
/// cannot listen on port 0, so callers retry when another process took the port
/// meanwhile.
inline core::Address
FreeAddress()
{
  using boost::asio::ip::tcp;
  boost::asio::io_context context;
  const tcp::acceptor acceptor(
    context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
  return { "127.0.0.1", acceptor.local_endpoint().port() };
}

/// Runs the stand-in platform's server in the test process.
class StandInPlatform
{
public:
  StandInPlatform()
  {
    for (int i = 0; i < 20 && !mServer; ++i) {
      mAddress = FreeAddress();
      try {
        mServer = std::make_unique<standins::PlatformServer>(mState, Url());
      } catch (const std::exception&) {
        continue;
      }
    }
    if (!mServer) {
      throw std::runtime_error("no port to listen on");
    }
  }

  standins::PlatformState& State() { return mState; }
  std::string Url() const { return "http://" + mAddress.ToString(); }

private:
  standins::PlatformState mState;
  core::Address mAddress;
  std::unique_ptr<standins::PlatformServer> mServer;
};

} // namespace nutmegrock::tests
