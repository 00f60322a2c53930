// A node as a real process while a group of misbehaving clients is connected.
// Each case guards against a process that ends, outgrows its machine or its
// file descriptors, or serves nobody else because of such a group.
#include "tests/adapter/standin/Documents.h"
#include "tests/clients/Group.h"
#include "tests/clients/Site.h"

#include <doctest/doctest.h>
#include <iostream>
#include <spdlog/fmt/fmt.h>

using namespace nutmegrock;
using nutmegrock::tests::Behaviour;
using nutmegrock::tests::Group;
using nutmegrock::tests::Site;

namespace {

/// Descriptors of the node: 131 connections of each listener for requests and
/// 16 of each other one. A node of the users' platform has 4,100.
constexpr std::size_t kFewDescriptors = 700;
constexpr std::size_t kUsualDescriptors = 4'100;
/// Bounds of the process: the smallest machine, and the limit on descriptors
/// less those that the node keeps free for itself.
constexpr std::size_t kMaxMemoryKb = std::size_t{ 160 } * 1024;
constexpr std::size_t kSpareDescriptors = 20;

/// Clients of a listener for requests: more than it holds connections, and so
/// few that all fit.
constexpr std::size_t kMany = 200;
constexpr std::size_t kSome = 40;
/// The same for the listeners of the node itself.
constexpr std::size_t kManyOfNode = 40;
constexpr std::size_t kFewOfNode = 12;
/// Time for a group to send all that it can, in seconds.
constexpr double kSettleSeconds = 3;

std::string
Head(const std::string& aMethod,
     const std::string& aPath,
     const std::string& aId,
     const std::string& aLines)
{
  return fmt::format("{} {} HTTP/1.1\r\nHost: shop.example\r\n"
                     "Nutmegrock-Request-Id: {}\r\n{}\r\n",
                     aMethod,
                     aPath,
                     aId,
                     aLines);
}

/// A body of aBytes of which aMissing bytes are never sent.
Behaviour
Upload(const std::string& aPath, std::size_t aBytes, std::size_t aMissing)
{
  Behaviour behaviour;
  behaviour.mFirst = [=](std::size_t aClient) {
    return Head("POST",
                aPath,
                fmt::format("up-{}", aClient),
                fmt::format("Content-Length: {}\r\n", aBytes)) +
           std::string(aBytes - aMissing, 'b');
  };
  behaviour.mReconnects = true;
  return behaviour;
}

/// The same in chunks of aChunk bytes; the last chunk is never sent.
Behaviour
ChunkedUpload(const std::string& aPath, std::size_t aBytes, std::size_t aChunk)
{
  Behaviour behaviour;
  behaviour.mFirst = [=](std::size_t aClient) {
    std::string text = Head("POST",
                            aPath,
                            fmt::format("up-{}", aClient),
                            "Transfer-Encoding: chunked\r\n");
    for (std::size_t sent = 0; sent < aBytes; sent += aChunk) {
      text += fmt::format("{:x}\r\n{}\r\n", aChunk, std::string(aChunk, 'b'));
    }
    return text;
  };
  behaviour.mReconnects = true;
  return behaviour;
}

/// Requests sent ahead, whose responses are not read.
Behaviour
Pipelined(const std::string& aPath, std::size_t aRequests)
{
  Behaviour behaviour;
  behaviour.mNext = [=](std::size_t aClient, std::size_t aTime) {
    constexpr std::size_t kAtOnce = 50;
    std::string text;
    for (std::size_t i = 0; i < kAtOnce && aTime * kAtOnce < aRequests; ++i) {
      text +=
        Head("GET", aPath, fmt::format("p-{}-{}-{}", aClient, aTime, i), "");
    }
    return text;
  };
  return behaviour;
}

/// One byte at a time.
Behaviour
Slow(Behaviour aBehaviour)
{
  aBehaviour.mPiece = 1;
  aBehaviour.mPause = 0.1;
  return aBehaviour;
}

Behaviour
HalfHead()
{
  Behaviour behaviour;
  behaviour.mFirst = [](std::size_t) {
    return std::string("GET /item/ HTTP/1.1\r\nHost: shop.exa");
  };
  behaviour.mReconnects = true;
  return behaviour;
}

using Ask = std::function<std::string(Site&)>;

std::string
AskCaller(Site& aSite)
{
  return aSite.AskCaller();
}

struct Setup
{
  core::Address (Site::*mAddress)() const = &Site::Caller;
  std::size_t mClients = kSome;
  std::size_t mDescriptors = kFewDescriptors;
  /// An ordinary request, on the listener of the group.
  Ask mAsk = AskCaller;
  double mSettleSeconds = kSettleSeconds;
};

void
Play(const Setup& aSetup, const Behaviour& aBehaviour)
{
  Site site(aSetup.mDescriptors);
  {
    Group group((site.*aSetup.mAddress)(), aSetup.mClients, aBehaviour);
    group.Settle(aSetup.mSettleSeconds);
    const std::string during = aSetup.mAsk(site);
    CHECK_MESSAGE(during.ends_with(" 200"), "during:", during);
    if (aSetup.mAddress != &Site::Caller) {
      const std::string caller = site.AskCaller();
      CHECK_MESSAGE(caller.ends_with(" 200"), "caller, during:", caller);
    }
    std::cout << fmt::format("  sent {} kB on {} connections, during:{}\n",
                             group.SentBytes() / 1024,
                             group.Connected(),
                             during);
  }
  const std::string after = site.AskCaller();
  CHECK_MESSAGE(after.ends_with(" 200"), "after:", after);
  REQUIRE_MESSAGE(site.IsAlive(), site.LogTail());
  std::cout << fmt::format(
    "  peak memory {} kB, peak descriptors {}, after:{}\n",
    site.PeakMemoryKb(),
    site.PeakDescriptors(),
    after);
  CHECK(site.PeakMemoryKb() < kMaxMemoryKb);
  CHECK(site.PeakDescriptors() < aSetup.mDescriptors - kSpareDescriptors);
}

Setup
OfReady(std::size_t aClients)
{
  Setup setup{ &Site::Ready, aClients };
  setup.mAsk = [](Site& aSite) {
    return aSite.AskListener(aSite.Ready(), "/ready");
  };
  return setup;
}

Setup
OfMetrics(std::size_t aClients)
{
  Setup setup{ &Site::Metrics, aClients };
  setup.mAsk = [](Site& aSite) {
    return aSite.AskListener(aSite.Metrics(), "/status");
  };
  return setup;
}

Setup
OfNotices(std::size_t aClients)
{
  Setup setup{ &Site::Notices, aClients };
  setup.mAsk = [](Site& aSite) {
    return aSite.AskListener(aSite.Notices(), "/");
  };
  return setup;
}

Setup
OfNodes(std::size_t aClients)
{
  Setup setup{ &Site::Nodes, aClients };
  setup.mAsk = [](Site& aSite) {
    return aSite.AskListener(aSite.Nodes(), "/item/");
  };
  return setup;
}

} // namespace

TEST_CASE("pipelined requests on a route, responses not read")
{
  Play({}, Pipelined("/item/", 2'000));
}

TEST_CASE("pipelined requests on a route, responses read slowly")
{
  Behaviour behaviour = Pipelined("/item/", 2'000);
  behaviour.mReadBytes = 500;
  Play({}, behaviour);
}

TEST_CASE("pipelined requests on a route, responses read at once")
{
  Behaviour behaviour = Pipelined("/item/", 2'000);
  behaviour.mReadBytes = 100'000;
  behaviour.mReadPause = 0;
  Play({}, behaviour);
}

TEST_CASE("pipelined requests without a route")
{
  Play({}, Pipelined("/nowhere/", 5'000));
}

TEST_CASE("pipelined requests on the readiness path")
{
  Play(OfReady(kFewOfNode), Pipelined("/ready", 5'000));
}

TEST_CASE("pipelined requests for metrics")
{
  Play(OfMetrics(kFewOfNode), Pipelined("/metrics", 20'000));
}

TEST_CASE("pipelined notices")
{
  Play(OfNotices(kFewOfNode), Pipelined("/", 5'000));
}

TEST_CASE("pipelined requests on the listener for nodes")
{
  Play(OfNodes(kSome), Pipelined("/item/", 5'000));
}

TEST_CASE("uploads that stop one byte short")
{
  Play({ &Site::Caller, kMany }, Upload("/photo/", 100'000, 1));
}

TEST_CASE("uploads in small pieces that stop one byte short")
{
  Behaviour behaviour = Upload("/photo/", 20'000, 1);
  behaviour.mPiece = 400;
  behaviour.mPause = 0.02;
  Play({ &Site::Caller, kMany }, behaviour);
}

TEST_CASE("uploads in chunks without the last one")
{
  Play({ &Site::Caller, kMany }, ChunkedUpload("/photo/", 60'000, 50));
}

TEST_CASE("large uploads that stop short of their end")
{
  Play({}, Upload("/photo/", 1'000'000, 10));
}

// The bodies are longer than what a node keeps, so they have slots of the
// server.
TEST_CASE("large uploads that hold the slots of the server")
{
  Setup setup;
  setup.mSettleSeconds = 0.5;
  Play(setup, Upload("/photo/", 1'000'000, 10));
}

TEST_CASE("bodies on a route without uploads that stop one byte short")
{
  Play({ &Site::Caller, kMany }, Upload("/item/", 100'000, 1));
}

TEST_CASE("bodies without a route that stop one byte short")
{
  Play({ &Site::Caller, kMany }, Upload("/nowhere/", 100'000, 1));
}

TEST_CASE("many uploads that stop short, with the usual descriptors")
{
  Play({ &Site::Caller, 700, kUsualDescriptors },
       Upload("/photo/", 190'000, 1));
}

TEST_CASE("bodies on the listener for nodes that stop one byte short")
{
  Play(OfNodes(kMany), Upload("/photo/", 100'000, 1));
}

TEST_CASE("bodies on the listener for readiness that stop one byte short")
{
  Play(OfReady(kManyOfNode), Upload("/ready", 50'000, 1));
}

TEST_CASE("bodies on the listener for notices that stop one byte short")
{
  Play(OfNotices(kManyOfNode), Upload("/", 50'000, 1));
}

TEST_CASE("bodies on the listener for metrics that stop one byte short")
{
  Play(OfMetrics(kManyOfNode), Upload("/metrics", 50'000, 1));
}

TEST_CASE("large responses that are not read")
{
  for (const std::size_t read : { 0, 2'000 }) {
    CAPTURE(read);
    Behaviour behaviour;
    behaviour.mFirst = [](std::size_t aClient) {
      return Head("GET", "/large/", fmt::format("l-{}", aClient), "");
    };
    behaviour.mReadBytes = read;
    behaviour.mReconnects = true;
    Setup setup;
    setup.mSettleSeconds = 0.5;
    Play(setup, behaviour);
  }
}

TEST_CASE("bodies far over the limit")
{
  Behaviour behaviour;
  behaviour.mFirst = [](std::size_t aClient) {
    return Head("POST",
                "/photo/",
                fmt::format("o-{}", aClient),
                aClient % 2 == 0 ? "Content-Length: 5000000000\r\n"
                                 : "Transfer-Encoding: chunked\r\n");
  };
  behaviour.mNext = [](std::size_t, std::size_t aTime) {
    constexpr std::size_t kTimes = 100;
    return aTime < kTimes ? "4000\r\n" + std::string(0x4000, 'b') + "\r\n" : "";
  };
  behaviour.mPause = 0.02;
  behaviour.mReconnects = true;
  Play({}, behaviour);
}

TEST_CASE("requests of very many short fields")
{
  for (const std::string path : { "/item/", "/nowhere/" }) {
    CAPTURE(path);
    Behaviour behaviour;
    behaviour.mNext = [path](std::size_t aClient, std::size_t aTime) {
      constexpr std::size_t kTimes = 200;
      constexpr int kFields = 3'200;
      std::string fields;
      for (int i = 0; i < kFields; ++i) {
        fields += "a:\r\n";
      }
      return aTime < kTimes
               ? Head(
                   "GET", path, fmt::format("f-{}-{}", aClient, aTime), fields)
               : "";
    };
    behaviour.mReadBytes = 10'000;
    behaviour.mReconnects = true;
    Play({}, behaviour);
  }
}

TEST_CASE("heads that stop half-way")
{
  Play({ &Site::Caller, kMany }, HalfHead());
  Play(OfNodes(kMany), HalfHead());
  Play(OfReady(kManyOfNode), HalfHead());
  Play(OfNotices(kManyOfNode), HalfHead());
  Play(OfMetrics(kManyOfNode), HalfHead());
}

TEST_CASE("more half heads than connections, with the usual descriptors")
{
  Play({ &Site::Caller, 1'500, kUsualDescriptors }, HalfHead());
}

TEST_CASE("heads that are sent very slowly")
{
  Behaviour behaviour = Slow(HalfHead());
  Play({ &Site::Caller, kMany }, behaviour);
}

TEST_CASE("bodies that are sent very slowly")
{
  for (const std::string path : { "/photo/", "/nowhere/" }) {
    CAPTURE(path);
    Behaviour behaviour = Upload(path, 500, 500);
    behaviour.mNext = [](std::size_t, std::size_t aTime) {
      constexpr std::size_t kTimes = 499;
      return std::string(aTime < kTimes ? "b" : "");
    };
    behaviour.mPause = 0.1;
    Play({ &Site::Caller, kMany }, behaviour);
  }
}

TEST_CASE("connections that are opened and not used")
{
  Behaviour behaviour;
  behaviour.mReconnects = true;
  Play({ &Site::Caller, kMany }, behaviour);
}
