#include "store/http/StoreClient.h"
#include "tests/transport/RawSocket.h"

#include <doctest/doctest.h>
#include <future>

using namespace nutmegrock;
using nutmegrock::tests::RawServer;
using nutmegrock::tests::RawSocket;

// Guards against a part of a response that is taken for the whole one: the
// store answers a write early, without a length, and resets the connection
// while the rest is being sent.
TEST_CASE("a response of the store that is reset during a write is an error")
{
  constexpr int kAttempts = 20;
  int complete = 0;
  for (int i = 0; i < kAttempts; ++i) {
    RawServer server;
    const auto client = store::http::StoreClient::Make(
      { .mUrl = "http://" + server.Address().ToString() });
    REQUIRE(client.has_value());
    store::http::StoreClient::Request request;
    request.mMethod = "PUT";
    request.mPath = "/table/k";
    request.mBody = std::string(std::size_t{ 8 } * 1024 * 1024, 'b');
    auto sent =
      std::async(std::launch::async, [&] { return client->Send(request); });
    RawSocket connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    connection.Write("HTTP/1.1 200 OK\r\nETag: \"7\"\r\n\r\npart");
    connection.ResetOnClose();
    connection.Close();
    complete += sent.get().has_value() ? 1 : 0;
  }
  CHECK(complete == 0);
}
