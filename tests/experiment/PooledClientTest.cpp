#include "experiment/PooledClient.h"

#include "tests/transport/IoThread.h"
#include "tests/transport/RawSocket.h"

#include <doctest/doctest.h>
#include <future>

using namespace nutmegrock;
using namespace nutmegrock::experiment;
using nutmegrock::tests::IoThread;
using nutmegrock::tests::RawServer;
using nutmegrock::tests::RawSocket;

// Guards against a load tool that counts a part of a response as complete: the
// failed write takes the reset from the socket, and the read then sees the end.
TEST_CASE("a response that is reset during its upload is not counted")
{
  struct Case
  {
    const char* mText;
    bool mComplete;
  };
  for (const Case& response :
       { Case{ "HTTP/1.1 200 OK\r\n\r\npart", false },
         Case{ "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nall", true } }) {
    CAPTURE(response.mText);
    IoThread thread;
    RawServer server;
    const auto client = PooledClient::Create(thread.Io());
    std::promise<HttpResult> done;
    HttpRequest request{ boost::beast::http::verb::post, "/", 11 };
    request.body() = std::string(std::size_t{ 16 } * 1024 * 1024, 'b');
    client->Send(
      server.Address(),
      std::move(request),
      std::chrono::seconds(5),
      [&done](HttpResult aResult) { done.set_value(std::move(aResult)); });
    RawSocket connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    connection.Write(response.mText);
    connection.ResetOnClose();
    connection.Close();
    const HttpResult result = done.get_future().get();
    CHECK(result.mError.failed() == !response.mComplete);
    thread.Run([&] { client->CloseIdle(); });
  }
}
