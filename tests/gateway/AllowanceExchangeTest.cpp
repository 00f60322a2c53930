#include "gateway/AllowanceExchange.h"
#include "core/Digest.h"
#include "tests/gateway/PathNode.h"
#include "transport/peer/PeerClient.h"
#include "transport/peer/PeerServer.h"

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

using namespace nutmegrock;
using namespace nutmegrock::gateway;
using nutmegrock::tests::MakeRoutes;
using nutmegrock::tests::Node;
using nutmegrock::tests::RawSocket;
using std::chrono::milliseconds;

namespace {

constexpr double kRate = 10;
constexpr double kBurst = 6;
/// Tokens that an owner holds in addition to the burst.
constexpr int kExtra = 4;
/// Time until the first view counts.
constexpr milliseconds kSettled{ 1'000 };

routes::RouteSetSource
LimitedRoutes()
{
  routes::RouteSetSource source = MakeRoutes();
  source.mVersion = 4;
  source.mRoutes[0].mAnonymous = true;
  source.mTenants = {
    { "acme", { core::Sha256Hex("k1") }, {}, kRate, kBurst }
  };
  return source;
}

std::string
KeyRequest(const std::string& aRoute)
{
  std::string text = Node::Request(aRoute);
  return text.insert(text.find("\r\n") + 2, "Authorization: Bearer k1\r\n");
}

/// Nodes that exchange allowances over sockets, on one thread and with a clock
/// that the test sets.
class Mesh
{
public:
  explicit Mesh(boost::asio::io_context& aIo, std::size_t aCount)
    : mIo(aIo)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      Open({ i + 1 });
    }
  }

  /// All nodes see all others, and the routes are in force.
  void Join()
  {
    std::vector<membership::MemberPtr> members;
    for (const auto& peer : mPeers) {
      membership::Member member;
      member.mIncarnation = peer->mSelf;
      member.mAddress = peer->mServer->LocalAddress();
      member.mState = membership::MemberState::Serving;
      members.push_back(std::make_shared<membership::Member>(member));
    }
    membership::MemberView view;
    view.mMembers = members;
    const auto routes = *routes::RouteSet::Create(LimitedRoutes());
    for (const auto& peer : mPeers) {
      peer->mExchange->OnRoutes(*routes);
      peer->mExchange->OnView(view, true);
    }
  }
  void Advance(milliseconds aTime) { mNow += aTime; }
  void Stop(std::size_t aNode)
  {
    mPeers[aNode]->mServer.reset();
    mPeers[aNode]->mClient->Close();
  }
  AllowanceExchange& At(std::size_t aNode) { return *mPeers[aNode]->mExchange; }
  std::uint64_t Count(std::size_t aNode, std::string_view aName)
  {
    return mPeers[aNode]->mRegistry.CounterOf(aName).Value();
  }
  /// Runs the event loop until the condition is met.
  template<class Condition>
  bool Wait(Condition aCondition)
  {
    const auto until = core::Clock::now() + std::chrono::seconds(30);
    while (!aCondition() && core::Clock::now() < until) {
      mIo.run_for(milliseconds(5));
      mIo.restart();
    }
    return aCondition();
  }
  /// Sends requests at a node, one after the other; returns how many of them
  /// were granted.
  int Granted(std::size_t aNode, int aCount)
  {
    int granted = 0;
    for (int i = 0; i < aCount; ++i) {
      bool decided = false;
      At(aNode).Take("acme", [&](const quota::AllowanceDecision& aDecision) {
        granted += aDecision.mGranted ? 1 : 0;
        decided = true;
      });
      REQUIRE(Wait([&] { return decided; }));
    }
    return granted;
  }

private:
  struct Peer
  {
    core::Incarnation mSelf;
    metrics::Registry mRegistry;
    std::unique_ptr<transport::peer::PeerClient> mClient;
    std::shared_ptr<AllowanceExchange> mExchange;
    std::unique_ptr<transport::peer::PeerServer> mServer;
  };

  void Open(core::Incarnation aSelf)
  {
    mPeers.push_back(std::make_unique<Peer>());
    Peer& peer = *mPeers.back();
    peer.mSelf = aSelf;
    transport::peer::PeerClientSettings client;
    client.mIncarnation = aSelf;
    peer.mClient = transport::peer::PeerClient::Create(mIo, client);
    peer.mExchange = AllowanceExchange::Create(
      { mIo, *peer.mClient, peer.mRegistry, [this] { return mNow; } }, aSelf);
    transport::peer::PeerServerSettings server;
    server.mAddress = { "127.0.0.1", 0 };
    server.mIncarnation = aSelf;
    auto opened = transport::peer::PeerServer::Create(
      mIo,
      server,
      [](const transport::PeerCall&, const transport::PeerResultHandler&) {},
      [&peer](core::Incarnation aFrom,
              const std::string& aMethod,
              const std::string& aArgument,
              const auto& aResponse) {
        aResponse(peer.mExchange->Handle(aFrom, aMethod, aArgument));
      });
    REQUIRE(opened.has_value());
    peer.mServer = std::move(*opened);
  }

  boost::asio::io_context& mIo;
  /// Ahead of the real clock, so that no request fails on a busy machine.
  core::TimePoint mNow = core::Clock::now() + std::chrono::hours(1);
  std::vector<std::unique_ptr<Peer>> mPeers;
};

} // namespace

// Guards against nodes that each grant the allowance.
TEST_CASE("nodes grant the burst of a tenant once")
{
  boost::asio::io_context io;
  Mesh mesh(io, 3);
  mesh.Join();
  mesh.Advance(kSettled);
  int granted = 0;
  for (std::size_t i = 0; i < 3; ++i) {
    granted += mesh.Granted(i, 10);
  }
  CHECK(granted >= static_cast<int>(kBurst));
  CHECK(granted <= static_cast<int>(kBurst) + kExtra);
  // The tokens of the next second are for any node.
  mesh.Advance(milliseconds(1'000));
  granted = mesh.Granted(1, 10) + mesh.Granted(2, 10);
  CHECK(granted >= static_cast<int>(kBurst));
  CHECK(granted <= static_cast<int>(kBurst) + kExtra);
}

// Guards against a message for each request that is refused.
TEST_CASE("refused requests cost no messages until the owner's time")
{
  boost::asio::io_context io;
  Mesh mesh(io, 3);
  mesh.Join();
  mesh.Advance(kSettled);
  for (std::size_t i = 0; i < 3; ++i) {
    mesh.Granted(i, 20);
  }
  std::vector<std::uint64_t> asked;
  for (std::size_t i = 0; i < 3; ++i) {
    asked.push_back(mesh.Count(i, "nutmegrock_allowance_asked_total"));
  }
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(mesh.Granted(i, 20) == 0);
    CHECK(mesh.Count(i, "nutmegrock_allowance_asked_total") == asked[i]);
  }
}

// Guards against requests that wait for an owner that is gone, and against an
// allowance for each node without it.
TEST_CASE("without their owner nodes decide by a part of the allowance")
{
  boost::asio::io_context io;
  Mesh mesh(io, 3);
  mesh.Join();
  mesh.Advance(kSettled);
  std::size_t owner = 0;
  for (std::size_t i = 0; i < 3; ++i) {
    mesh.Granted(i, 1);
    if (mesh.At(i).StatusText().find("owned 1") != std::string::npos) {
      owner = i;
    }
  }
  mesh.Stop(owner);
  mesh.Advance(milliseconds(500));
  const std::size_t other = (owner + 1) % 3;
  CHECK(mesh.Granted(other, 3) == 0);
  CHECK(mesh.Count(other, "nutmegrock_allowance_ask_failed_total") > 0);
  int granted = 0;
  constexpr int kSeconds = 100;
  for (int i = 0; i < 10 * kSeconds; ++i) {
    mesh.Advance(milliseconds(100));
    granted += mesh.Granted(other, 1);
  }
  // Between an equal part of a half, and the half in addition.
  CHECK(granted > kSeconds * kRate / 6 * 0.8);
  CHECK(granted < kSeconds * kRate * (0.5 + 1.0 / 6) * 1.2);
}

// Guards against a node that ends, or grants tokens, by a message that another
// release or a fault has sent.
TEST_CASE("messages that cannot be read are refused and counted")
{
  boost::asio::io_context io;
  Mesh mesh(io, 1);
  mesh.Join();
  mesh.Advance(kSettled);
  const std::vector<std::string> invalid = { "",
                                             "2 normal",
                                             "1",
                                             "1 odd",
                                             "1 normal xyz",
                                             "1 normal\n",
                                             "1 normal\n1",
                                             "1 normal\n1 2",
                                             "1 normal\n1 2 ",
                                             "1 normal\n-1 2 acme",
                                             "1 normal\n9999999 2 acme" };
  std::uint64_t expected = 0;
  for (const std::string& text : invalid) {
    CAPTURE(text);
    const auto response =
      mesh.At(0).Handle({ 9 }, AllowanceExchange::kTake, text);
    if (text == "1 normal\n") {
      CHECK(response.has_value());
      continue;
    }
    REQUIRE(!response.has_value());
    CHECK(response.error().mKind == core::ErrorKind::BadRequest);
    CHECK(response.error().mMessage.find("allowance message") !=
          std::string::npos);
    CHECK(mesh.Count(0, "nutmegrock_allowance_invalid_total") == ++expected);
  }
  CHECK(!mesh.At(0).Handle({ 9 }, AllowanceExchange::kCede, "1 x").has_value());
}

namespace {

/// Allowances in front of a node; this node owns the tenant.
class LimitedNode
{
public:
  LimitedNode()
  {
    mNode.Activate(LimitedRoutes());
    mNode.Do([this] {
      mClient = transport::peer::PeerClient::Create(mNode.Io(), {});
      mExchange = AllowanceExchange::Create(
        { mNode.Io(), *mClient, mNode.Metrics(), [this] { return Now(); } },
        mNode.Self());
      mExchange->OnRoutes(*routes::RouteSet::Create(LimitedRoutes()).value());
      mNode.EntryHalf().SetAllowances(mExchange.get());
    });
  }
  LimitedNode(const LimitedNode&) = delete;
  LimitedNode& operator=(const LimitedNode&) = delete;
  ~LimitedNode()
  {
    mNode.Do([this] {
      mHeld.clear();
      mOwner.reset();
      mNode.EntryHalf().EndAll();
      mNode.EntryHalf().SetAllowances(nullptr);
      mExchange.reset();
      mClient.reset();
    });
  }

  /// Makes this node the owner, or another that does not respond.
  void SetOwner(core::Incarnation aOwner)
  {
    mNode.Do([this, aOwner] {
      membership::Member member;
      member.mIncarnation = aOwner;
      // A listener that accepts and never responds.
      member.mAddress = mNode.Peer().Address();
      member.mState = membership::MemberState::Serving;
      membership::MemberView view;
      view.mMembers = { std::make_shared<membership::Member>(member) };
      mExchange->OnView(view, true);
      if (aOwner == mNode.Self()) {
        mFrozenAt = core::Clock::now() + kSettled;
      }
    });
  }
  /// Makes a node the owner that responds to requests for tokens when the test
  /// says so.
  void SetHeldOwner()
  {
    mNode.Do([this] {
      mFrozenAt = core::Clock::now() + std::chrono::hours(1);
      transport::peer::PeerServerSettings settings;
      settings.mAddress = { "127.0.0.1", 0 };
      settings.mIncarnation = { 5 };
      mOwner = std::move(*transport::peer::PeerServer::Create(
        mNode.Io(),
        settings,
        [](const transport::PeerCall&, const transport::PeerResultHandler&) {},
        [this](core::Incarnation,
               const std::string&,
               const std::string& aArgument,
               const auto& aResponse) {
          if (aArgument.find('\n') == std::string::npos) {
            aResponse(std::string("1 owner"));
          } else {
            mHeld.push_back(aResponse);
          }
        }));
      membership::Member member;
      member.mIncarnation = { 5 };
      member.mAddress = mOwner->LocalAddress();
      member.mState = membership::MemberState::Serving;
      membership::MemberView view;
      view.mMembers = { std::make_shared<membership::Member>(member) };
      mExchange->OnView(view, true);
    });
  }
  /// Waits for that many requests at the owner.
  bool WaitForHeld(std::size_t aCount)
  {
    const auto until = core::Clock::now() + std::chrono::seconds(30);
    std::size_t held = 0;
    while (held < aCount && core::Clock::now() < until) {
      std::this_thread::sleep_for(milliseconds(10));
      mNode.Do([&] { held = mHeld.size(); });
    }
    return held == aCount;
  }
  /// Grants one token to each request at the owner.
  void Grant()
  {
    mNode.Do([this] {
      for (const auto& response : mHeld) {
        response(std::string("1 owner\n1 0 0"));
      }
    });
  }
  Node& Get() { return mNode; }

private:
  core::TimePoint Now() const { return mFrozenAt.value_or(core::Clock::now()); }

  Node mNode;
  /// Set with an owner that responds, so that no tokens are added.
  std::optional<core::TimePoint> mFrozenAt;
  std::unique_ptr<transport::peer::PeerClient> mClient;
  std::unique_ptr<transport::peer::PeerServer> mOwner;
  std::vector<std::function<void(core::Expected<std::string>)>> mHeld;
  std::shared_ptr<AllowanceExchange> mExchange;
};

} // namespace

// Guards against a request above the allowance that takes a slot, and against a
// limit for requests without a tenant.
TEST_CASE("requests above the allowance get 429 and do not reach a server")
{
  LimitedNode limited;
  limited.SetOwner(limited.Get().Self());
  int served = 0;
  std::string refused;
  while (refused.empty() && served < 30) {
    RawSocket client = limited.Get().Connect();
    client.Write(KeyRequest("pay"));
    auto response = std::async(std::launch::async,
                               [&] { return client.ReadUntil("\r\n\r\n"); });
    if (response.wait_for(milliseconds(300)) == std::future_status::timeout) {
      RawSocket server = limited.Get().Server().Accept();
      server.ReadUntil("\r\n\r\n");
      server.Write("HTTP/1.1 200 OK\r\nNutmegrock-Request: id-1\r\n"
                   "Nutmegrock-Seal: s\r\nConnection: close\r\n"
                   "Content-Length: 0\r\n\r\n");
      ++served;
    }
    const std::string text = response.get();
    if (!text.starts_with("HTTP/1.1 200")) {
      refused = text;
    }
  }
  CHECK(served >= static_cast<int>(kBurst));
  CHECK(served <= static_cast<int>(kBurst) + kExtra);
  CHECK(refused.starts_with("HTTP/1.1 429"));
  CHECK(refused.find("Retry-After: ") != std::string::npos);
  CHECK(
    limited.Get()
      .Metrics()
      .CounterOf("nutmegrock_allowance_refused_total", { { "tenant", "acme" } })
      .Value() == 1);
  RawSocket client = limited.Get().Connect();
  client.Write(Node::Request("read"));
  RawSocket server = limited.Get().Server().Accept();
  CHECK(server.ReadUntil("\r\n\r\n").starts_with("GET /read/1"));
}

// Guards against a request that waits for an owner beyond its deadline, or for
// ever.
TEST_CASE("a request whose owner does not respond ends in time")
{
  LimitedNode limited;
  limited.SetOwner({ 5 });
  RawSocket client = limited.Get().Connect();
  client.Write(KeyRequest("pay"));
  CHECK(client.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 429"));
}

// Guards against a body that is lost, or kept without bound, while the request
// waits for a token.
TEST_CASE("a large body that arrives during the wait is complete")
{
  LimitedNode limited;
  limited.SetHeldOwner();
  // More than a node keeps for retries. RawSocket reads single bytes, so a much
  // larger body would not end within the deadline.
  constexpr std::size_t kBytes = 220'000;
  std::string request = KeyRequest("pay");
  request.replace(0, 3, "POST");
  request.insert(request.find("\r\n") + 2,
                 "Content-Length: " + std::to_string(kBytes) + "\r\n");
  RawSocket client = limited.Get().Connect();
  auto written = std::async(std::launch::async, [&] {
    client.Write(request + std::string(kBytes - 3, 'x') + "END");
  });
  REQUIRE(limited.WaitForHeld(1));
  std::this_thread::sleep_for(milliseconds(100));
  limited.Grant();
  RawSocket server = limited.Get().Server().Accept();
  const std::string received = server.ReadUntil("END");
  const std::size_t body = received.find("\r\n\r\n") + 4;
  CHECK(received.size() - body == kBytes);
  written.get();
}

// Guards against a request that runs although its caller has gone, and against
// a token that is lost with it.
TEST_CASE("a caller that leaves during the wait leaves its token")
{
  LimitedNode limited;
  limited.SetHeldOwner();
  RawSocket client = limited.Get().Connect();
  client.Write(KeyRequest("pay"));
  REQUIRE(limited.WaitForHeld(1));
  client.Close();
  const auto until = core::Clock::now() + std::chrono::seconds(30);
  std::size_t in_flight = 1;
  while (in_flight > 0 && core::Clock::now() < until) {
    std::this_thread::sleep_for(milliseconds(10));
    limited.Get().Do([&] { in_flight = limited.Get().EntryHalf().InFlight(); });
  }
  CHECK(in_flight == 0);
  limited.Grant();
  RawSocket second = limited.Get().Connect();
  std::this_thread::sleep_for(milliseconds(200));
  second.Write(KeyRequest("pay"));
  RawSocket server = limited.Get().Server().Accept();
  CHECK(server.ReadUntil("\r\n\r\n").starts_with("GET /pay/1"));
  CHECK(limited.WaitForHeld(1));
}
