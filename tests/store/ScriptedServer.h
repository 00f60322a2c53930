#pragma once

#include "core/Address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace nutmegrock::tests {

/// TCP server that sends the n-th prepared response to the n-th request and
/// keeps the connection open, or closes it after an empty or truncated
/// response.
class ScriptedServer
{
public:
  struct Step
  {
    std::string mResponse;
    bool mClose = false;
  };

  explicit ScriptedServer(std::vector<Step> aSteps)
    : mSteps(std::move(aSteps))
    , mAcceptor(mContext, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , mUrl("http://127.0.0.1:" +
           std::to_string(mAcceptor.local_endpoint().port()))
    , mThread([this] { Run(); })
  {
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;
  ~ScriptedServer()
  {
    {
      const std::scoped_lock lock(mMutex);
      mStopped = true;
    }
    // Unblocks accept() by connecting to it.
    boost::system::error_code ignored;
    Tcp::socket wake(mContext);
    wake.connect(mAcceptor.local_endpoint(), ignored);
    mThread.join();
  }

  std::string Url() const { return mUrl; }
  /// Methods of the requests received so far.
  std::vector<std::string> Methods() const
  {
    const std::scoped_lock lock(mMutex);
    return mMethods;
  }

private:
  using Tcp = boost::asio::ip::tcp;

  void Run()
  {
    while (true) {
      boost::system::error_code code;
      Tcp::socket socket(mContext);
      mAcceptor.accept(socket, code);
      {
        const std::scoped_lock lock(mMutex);
        if (mStopped) {
          return;
        }
        mThreads.emplace_back([this](Tcp::socket aSocket) { Serve(aSocket); },
                              std::move(socket));
      }
    }
  }

  void Serve(Tcp::socket& aSocket)
  {
    std::string buffer;
    boost::system::error_code code;
    while (true) {
      const std::size_t header = boost::asio::read_until(
        aSocket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n", code);
      if (code) {
        return;
      }
      const std::size_t length = LengthOf(buffer.substr(0, header));
      while (buffer.size() < header + length) {
        const std::size_t missing = header + length - buffer.size();
        boost::asio::read(aSocket,
                          boost::asio::dynamic_buffer(buffer),
                          boost::asio::transfer_exactly(missing),
                          code);
        if (code) {
          return;
        }
      }
      const Step step = NextStep(buffer.substr(0, buffer.find(' ')));
      buffer.erase(0, header + length);
      boost::asio::write(aSocket, boost::asio::buffer(step.mResponse), code);
      if (code || step.mClose) {
        return;
      }
    }
  }

  static std::size_t LengthOf(const std::string& aHeader)
  {
    static const std::string sName = "Content-Length: ";
    const auto at = aHeader.find(sName);
    return at == std::string::npos
             ? 0
             : std::stoull(aHeader.substr(at + sName.size()));
  }

  Step NextStep(const std::string& aMethod)
  {
    const std::scoped_lock lock(mMutex);
    mMethods.push_back(aMethod);
    return mMethods.size() <= mSteps.size() ? mSteps[mMethods.size() - 1]
                                            : Step{ "", true };
  }

  std::vector<Step> mSteps;
  mutable std::mutex mMutex;
  bool mStopped = false;
  std::vector<std::string> mMethods;
  boost::asio::io_context mContext;
  Tcp::acceptor mAcceptor;
  std::string mUrl;
  std::vector<std::jthread> mThreads;
  std::thread mThread;
};

} // namespace nutmegrock::tests
