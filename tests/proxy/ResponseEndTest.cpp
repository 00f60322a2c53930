#include "core/Time.h"
#include "proxy/ClientPool.h"
#include "proxy/MessageText.h"
#include "tests/transport/IoThread.h"
#include "tests/transport/RawSocket.h"

#include <doctest/doctest.h>
#include <future>
#include <optional>
#include <string>

using namespace nutmegrock;
using namespace nutmegrock::proxy;
using nutmegrock::tests::IoThread;
using nutmegrock::tests::RawServer;
using nutmegrock::tests::RawSocket;

namespace {

/// Collects a response.
class ResponseCollector final : public ResponseSink
{
public:
  void OnResponseHead(const ResponseHead& aHead) override { mHead = aHead; }
  void OnResponseBody(std::string_view aBytes) override { mBody += aBytes; }
  void OnResponseEnd() override { mEnd.set_value({}); }
  void OnResponseFailed(const core::Error& aError) override
  {
    mEnd.set_value(aError);
  }
  void OnRequestSent() override {}
  /// Waits for the end; returns the error, or nothing if the response is
  /// complete.
  std::optional<core::Error> Wait()
  {
    auto end = mEnd.get_future();
    REQUIRE(end.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    return end.get();
  }

  ResponseHead mHead;
  std::string mBody;

private:
  std::promise<std::optional<core::Error>> mEnd;
};

/// An upload whose head has reached a server that has not responded yet.
struct Upload
{
  Upload()
    : mConnection(Send())
  {
    mConnection.ReadUntil("\r\n\r\n");
  }
  Upload(const Upload&) = delete;
  Upload& operator=(const Upload&) = delete;
  ~Upload()
  {
    mThread.Run([this] { mPool.reset(); });
  }
  /// The server sends this and resets the connection, while more of the body is
  /// sent. The thread of the connection runs this, so the failed send precedes
  /// all reads.
  void RespondAndReset(const std::string& aResponse)
  {
    mThread.Run([&] {
      mConnection.Write(aResponse);
      mConnection.ResetOnClose();
      mConnection.Close();
      mOutgoing->SendBody("more of the body");
    });
  }

  IoThread mThread;
  RawServer mServer;
  std::unique_ptr<ClientPool> mPool;
  OutgoingRequestPtr mOutgoing;
  std::shared_ptr<ResponseCollector> mResponse =
    std::make_shared<ResponseCollector>();
  RawSocket mConnection;

private:
  RawSocket Send()
  {
    mThread.Run([this] {
      mPool = std::make_unique<ClientPool>(
        mThread.Io(), HeaderNames(), [] { return core::Clock::now(); });
      ClientRequest request;
      request.mHead = "POST / HTTP/1.1\r\nNutmegrock-Request: a\r\n"
                      "Content-Length: 100000\r\n\r\n";
      request.mRequestId = "a";
      request.mFraming = BodyFraming::Length;
      request.mBodyComplete = false;
      mOutgoing = mPool->Send(mServer.Address(), std::move(request), mResponse);
    });
    return mServer.Accept();
  }
};

constexpr const char* kHead = "HTTP/1.1 200 OK\r\nNutmegrock-Request: a\r\n";

} // namespace

// Guards against a part of a response that is taken for the whole one: the
// failed send takes the error from the socket, so that the next read reports
// the end of the stream instead of the reset.
TEST_CASE("a reset during an upload does not complete a response without end")
{
  Upload upload;
  upload.RespondAndReset(std::string(kHead) + "\r\npart");
  const auto error = upload.mResponse->Wait();
  REQUIRE(error.has_value());
  CHECK(error->mKind == core::ErrorKind::BackendProtocol);
  CHECK(error->mRun == core::RunCertainty::Unknown);
}

// The length or the last chunk show that the response is complete, whatever
// becomes of the upload. The connection cannot be used again.
TEST_CASE("a reset during an upload does not fail a response with an end")
{
  for (const char* body :
       { "Content-Length: 3\r\n\r\nall",
         "Transfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n" }) {
    CAPTURE(body);
    Upload upload;
    upload.RespondAndReset(std::string(kHead) + body);
    CHECK(!upload.mResponse->Wait().has_value());
    CHECK(upload.mResponse->mBody == "all");
    upload.mThread.Run([&] {
      upload.mOutgoing->EndBody();
      ClientRequest next;
      next.mHead = "GET / HTTP/1.1\r\n\r\n";
      upload.mPool->Send(upload.mServer.Address(),
                         std::move(next),
                         std::weak_ptr<ResponseSink>());
      CHECK(upload.mPool->Counts().mReused == 0);
    });
  }
}
