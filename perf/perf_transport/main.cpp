// Compares the transport adapters with cpprestsdk in one run: round trips of 16
// concurrent callers with a response of two bytes, over loopback. The ratios
// decide whether the two HTTP hops of a call use Beast instead of cpprestsdk.

#include "transport/http/CallListener.h"
#include "transport/http/HttpBackendClient.h"
#include "transport/peer/PeerClient.h"
#include "transport/peer/PeerServer.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cpprest/http_client.h>
#include <cpprest/http_listener.h>
#include <cstdio>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <pplx/threadpool.h>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace nutmegrock;
using Clock = std::chrono::steady_clock;

constexpr int kCallers = 16;
constexpr int kThreads = 4;
constexpr int kWarmUpCalls = 2000;
constexpr int kCalls = 40'000;

/// Starts one call and invokes the given function with its success when the
/// response is complete.
using Sender = std::function<void(std::function<void(bool)>)>;

class Measurement
{
public:
  explicit Measurement(Sender aSender)
    : mSender(std::move(aSender))
  {
  }

  /// Makes aCalls calls and returns their round-trip times in microseconds,
  /// sorted.
  std::vector<double> Run(int aCalls)
  {
    mLeft = aCalls;
    mRunning = kCallers;
    mTimes.clear();
    mDone = {};
    auto done = mDone.get_future();
    for (int i = 0; i < kCallers; ++i) {
      CallNext();
    }
    done.wait();
    std::sort(mTimes.begin(), mTimes.end());
    return mTimes;
  }
  int Failures() const { return mFailures; }

private:
  void CallNext()
  {
    if (mLeft.fetch_sub(1) <= 0) {
      if (--mRunning == 0) {
        mDone.set_value();
      }
      return;
    }
    const auto start = Clock::now();
    mSender([this, start](bool aOk) {
      const std::chrono::duration<double, std::micro> time =
        Clock::now() - start;
      if (!aOk) {
        ++mFailures;
      }
      {
        const std::lock_guard lock(mMutex);
        mTimes.push_back(time.count());
      }
      CallNext();
    });
  }

  const Sender mSender;
  std::atomic<int> mLeft{ 0 };
  std::atomic<int> mRunning{ 0 };
  std::atomic<int> mFailures{ 0 };
  std::mutex mMutex;
  std::vector<double> mTimes;
  std::promise<void> mDone;
};

void
Report(const char* aName, const Sender& aSender)
{
  Measurement measurement(aSender);
  measurement.Run(kWarmUpCalls);
  const auto start = Clock::now();
  const auto times = measurement.Run(kCalls);
  const std::chrono::duration<double> total = Clock::now() - start;
  std::printf("%-12s p50 %7.0f us  p99 %7.0f us  %8.0f calls/s  %d failed\n",
              aName,
              times.at(times.size() / 2),
              times.at(times.size() * 99 / 100),
              static_cast<double>(times.size()) / total.count(),
              measurement.Failures());
}

transport::Response
SmallResponse()
{
  transport::Response response;
  response.mHead.mBodySize = 2;
  response.mBody = transport::StringBody("ok");
  return response;
}

core::TimePoint
Deadline()
{
  return core::Clock::now() + std::chrono::seconds(30);
}

void
CheckBody(core::Expected<transport::Response> aResponse,
          const std::function<void(bool)>& aDone)
{
  if (!aResponse) {
    aDone(false);
    return;
  }
  transport::ReadAll(
    aResponse->mBody, 1024, [aDone](const core::Expected<std::string>& aText) {
      aDone(aText && *aText == "ok");
    });
}

// cpprestsdk does not report which port the system assigned, so a free port is
// found beforehand.
std::string
FreeAddress(boost::asio::io_context& aIo)
{
  using boost::asio::ip::tcp;
  const tcp::acceptor acceptor(aIo,
                               { boost::asio::ip::address_v4::loopback(), 0 });
  return "http://127.0.0.1:" +
         std::to_string(acceptor.local_endpoint().port()) + "/";
}

void
MeasureRest(boost::asio::io_context& aIo)
{
  using namespace web::http;
  const std::string address = FreeAddress(aIo);
  experimental::listener::http_listener listener(address);
  listener.support([](const http_request& aRequest) {
    aRequest.reply(status_codes::OK, "ok");
  });
  listener.open().wait();
  client::http_client client(address);
  Report("cpprestsdk", [&client](const std::function<void(bool)>& aDone) {
    client.request(methods::GET, "/a")
      .then([](const http_response& aResponse) {
        return aResponse.extract_string();
      })
      .then([aDone](const pplx::task<std::string>& aText) {
        bool ok = false;
        try {
          ok = aText.get() == "ok";
        } catch (const std::exception&) {
          ok = false;
        }
        aDone(ok);
      });
  });
  listener.close().wait();
}

void
MeasureHttp(boost::asio::io_context& aIo)
{
  using namespace transport;
  http::CallListenerSettings listen;
  listen.mAddress = { "127.0.0.1", 0 };
  const auto listener = http::CallListener::Create(
    aIo, listen, [](const Call&, const ResponseHandler& aResponse) {
      aResponse(SmallResponse());
    });
  http::HttpBackendClientSettings connect;
  connect.mAddress = listener.value()->LocalAddress();
  const auto client = http::HttpBackendClient::Create(aIo, connect);
  Report("http", [&client](const std::function<void(bool)>& aDone) {
    Call call;
    call.mHead.mMethod = "GET";
    call.mHead.mTarget = "/a";
    client.value()->Send(std::move(call), Deadline(), [aDone](auto aResponse) {
      CheckBody(std::move(aResponse), aDone);
    });
  });
}

void
MeasurePeer(boost::asio::io_context& aIo)
{
  using namespace transport;
  peer::PeerServerSettings serve;
  serve.mAddress = { "127.0.0.1", 0 };
  serve.mIncarnation = { 1 };
  const auto server = peer::PeerServer::Create(
    aIo,
    serve,
    [](const PeerCall&, const PeerResultHandler& aResponse) {
      aResponse({ SmallResponse(), {} });
    },
    [](auto&&...) {});
  peer::PeerClientSettings connect;
  connect.mIncarnation = { 2 };
  const auto client = peer::PeerClient::Create(aIo, connect);
  const core::Address address = server.value()->LocalAddress();
  Report("peer", [&](const std::function<void(bool)>& aDone) {
    core::CallContext context{ core::RequestId::FromBits(1, 2),
                               Deadline(),
                               core::Duration(0),
                               "progress",
                               core::Importance::Normal,
                               true,
                               2,
                               0,
                               {} };
    PeerCall call{ { 1 }, "tracker", std::move(context), {} };
    call.mCall.mHead.mMethod = "GET";
    call.mCall.mHead.mTarget = "/a";
    client->Send(address, std::move(call), [aDone](PeerResult aResult) {
      CheckBody(std::move(aResult.mResponse), aDone);
    });
  });
}

} // namespace

int
main()
{
  crossplat::threadpool::initialize_with_threads(kThreads);
  std::printf(
    "%d callers, %d threads, %d calls each\n", kCallers, kThreads, kCalls);
  boost::asio::io_context io;
  MeasureRest(io);
  auto work = boost::asio::make_work_guard(io);
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&io] { io.run(); });
  }
  MeasureHttp(io);
  MeasurePeer(io);
  work.reset();
  io.stop();
  for (auto& thread : threads) {
    thread.join();
  }
  return 0;
}
