#include "core/Digest.h"
#include "core/Hash.h"
#include "gateway/PeerCall.h"
#include "tests/gateway/PathNode.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <vector>

using namespace nutmegrock;
using namespace nutmegrock::gateway;
using nutmegrock::tests::kWhole;
using nutmegrock::tests::MakeRoutes;
using nutmegrock::tests::Node;
using nutmegrock::tests::RawSocket;

namespace {

/// Routes of a configuration with tenants; "read" is anonymous.
routes::RouteSetSource
MakeTenantRoutes(std::uint64_t aVersion, const std::string& aKey = "k1")
{
  routes::RouteSetSource source = MakeRoutes();
  source.mVersion = aVersion;
  source.mRoutes[0].mAnonymous = true;
  source.mTenants = { { "acme; Inc.", { core::Sha256Hex(aKey) }, {}, 0, 0 },
                      { "revoked", {}, {}, 0, 0 } };
  source.mSkippedRoutes = { { "shop.example", "/odd/", "not readable" } };
  return source;
}

std::string
RequestOf(const std::string& aRoute, const std::string& aLines)
{
  std::string text = Node::Request(aRoute);
  return text.insert(text.find("\r\n") + 2, aLines);
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

const std::string kKeyLine = "Authorization: Bearer k1\r\n";
const std::string kForgedLine = "Nutmegrock-Tenant: forged\r\n";

} // namespace

// Guards against a key that reaches the backend server, and against a server
// that takes a caller's word for its tenant.
TEST_CASE("the server receives the tenant instead of the key")
{
  Node node;
  node.Activate(MakeTenantRoutes(4));
  RawSocket client = node.Connect();
  client.Write(RequestOf("pay", kKeyLine + kForgedLine));
  RawSocket server = node.Server().Accept();
  const std::string head = server.ReadUntil("\r\n\r\n");
  CHECK(Contains(head, "Nutmegrock-Tenant: acme; Inc.\r\n"));
  CHECK(!Contains(head, "forged"));
  CHECK(!Contains(head, "k1"));
  CHECK(!Contains(head, "uthorization"));
  server.Write(kWhole);
  CHECK(client.ReadUntil("ok").starts_with("HTTP/1.1 200"));
}

TEST_CASE("a request to another node carries the tenant's name, not its key")
{
  Node node;
  node.Activate(MakeTenantRoutes(4));
  RawSocket client = node.Connect();
  client.Write(RequestOf("part", kKeyLine + kForgedLine));
  RawSocket peer = node.Peer().Accept();
  const std::string head = peer.ReadUntil("\r\n\r\n");
  CHECK(!Contains(head, "k1"));
  CHECK(!Contains(head, "uthorization"));
  CHECK(!Contains(head, "forged"));
  const std::string name = std::string(proxy::kPeerCallHeader) + ": ";
  const std::size_t begin = head.find(name) + name.size();
  const auto call =
    DecodePeerCall(head.substr(begin, head.find("\r\n", begin) - begin));
  REQUIRE(call.has_value());
  CHECK(call->mTenant == "acme; Inc.");
}

TEST_CASE("the serving node names the tenant that the entry node found")
{
  Node node;
  PeerCall call;
  call.mTarget = node.Self();
  call.mService = "till";
  call.mRoute = "pay";
  call.mTimeRemaining = std::chrono::milliseconds(1000);
  call.mFinishWithin = std::chrono::milliseconds(1000);
  for (const char* tenant : { "acme; Inc.", "" }) {
    CAPTURE(tenant);
    call.mTenant = tenant;
    RawSocket entry = node.ConnectAsNode();
    entry.Write(RequestOf(
      "pay",
      kForgedLine + proxy::HeaderLine(proxy::kPeerCallHeader, Encode(call))));
    RawSocket server = node.Server().Accept();
    const std::string head = server.ReadUntil("\r\n\r\n");
    CHECK(!Contains(head, "forged"));
    CHECK(Contains(head, "Nutmegrock-Tenant: ") == !call.mTenant.empty());
    CHECK(Contains(head, "Nutmegrock-Tenant: acme; Inc.\r\n") ==
          !call.mTenant.empty());
  }
}

// Guards against a request that runs without the key of a tenant.
TEST_CASE("a request with an unknown or missing key is not run")
{
  for (const std::string& lines : {
         std::string(),
         std::string("Authorization: Bearer k2\r\n"),
         std::string("Authorization: Bearer \r\n"),
         std::string("Authorization: Basic k1\r\n"),
         "Authorization: Bearer " + core::Sha256Hex("k1") + "\r\n",
         kKeyLine + "Authorization: Bearer k2\r\n",
         std::string("Nutmegrock-Tenant: acme; Inc.\r\n"),
       }) {
    CAPTURE(lines);
    Node node;
    node.Activate(MakeTenantRoutes(4));
    RawSocket client = node.Connect();
    client.Write(RequestOf("pay", lines));
    const std::string response = client.ReadUntil("unauthorized\n");
    CHECK(response.starts_with("HTTP/1.1 401"));
    CHECK(Contains(response, "WWW-Authenticate: Bearer\r\n"));
    CHECK(Contains(response, "Nutmegrock-Request: id-1\r\n"));
    node.Do([&] { CHECK(node.ServingHalf().InFlight() == 0); });
  }
}

TEST_CASE("an anonymous route needs no key and names no tenant")
{
  for (const std::string& lines :
       { kForgedLine,
         kKeyLine + kForgedLine,
         std::string("Authorization: Bearer k2\r\n") }) {
    CAPTURE(lines);
    Node node;
    node.Activate(MakeTenantRoutes(4));
    RawSocket client = node.Connect();
    client.Write(RequestOf("read", lines));
    RawSocket server = node.Server().Accept();
    const std::string head = server.ReadUntil("\r\n\r\n");
    CHECK(!Contains(head, "Nutmegrock-Tenant"));
    CHECK(!Contains(head, "uthorization"));
    server.Write(kWhole);
    CHECK(client.ReadUntil("ok").starts_with("HTTP/1.1 200"));
  }
}

// Guards against a change for configurations without tenants, whose backend
// servers check keys themselves.
TEST_CASE("without tenants the key goes to the server as before")
{
  Node node;
  for (const char* route : { "pay", "part" }) {
    CAPTURE(route);
    RawSocket client = node.Connect();
    client.Write(RequestOf(route, kKeyLine + kForgedLine));
    RawSocket server = std::string(route) == "pay" ? node.Server().Accept()
                                                   : node.Peer().Accept();
    const std::string head = server.ReadUntil("\r\n\r\n");
    CHECK(Contains(head, kKeyLine));
    CHECK(!Contains(head, "Nutmegrock-Tenant"));
  }
}

// Guards against a revoked key that is accepted until the process ends.
TEST_CASE("a key is valid only in the versions that have it")
{
  Node node;
  const auto status = [&node](const std::string& aKey) {
    RawSocket client = node.Connect();
    client.Write(RequestOf(
      "pay", "Authorization: Bearer " + aKey + "\r\nConnection: close\r\n"));
    if (aKey == "old") {
      return client.ReadUntil("\r\n\r\n").substr(9, 3);
    }
    RawSocket server = node.Server().Accept();
    server.ReadUntil("\r\n\r\n");
    server.Write(kWhole);
    server.Close();
    return client.ReadUntil("\r\n\r\n").substr(9, 3);
  };
  node.Activate(MakeTenantRoutes(4, "new"));
  CHECK(status("old") == "401");
  CHECK(status("new") == "200");
  node.Activate(MakeTenantRoutes(5, "newer"));
  CHECK(status("newer") == "200");
  auto revoked = MakeTenantRoutes(6);
  revoked.mTenants[0].mKeyDigests.clear();
  node.Activate(revoked);
  RawSocket client = node.Connect();
  client.Write(RequestOf("pay", "Authorization: Bearer newer\r\n"));
  CHECK(client.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 401"));
}

// Guards against clients that take a route with a fault for one that does not
// exist.
TEST_CASE("a request of a route that was not read is refused as not run")
{
  Node node;
  node.Activate(MakeTenantRoutes(4));
  RawSocket client = node.Connect();
  client.Write(RequestOf("odd", kKeyLine));
  const std::string response = client.ReadUntil("\r\n\r\n");
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(Contains(response, "Retry-After: "));
}

namespace {

/// The rank in the head of a request between nodes.
double
RankIn(const std::string& aHead)
{
  const std::string name = std::string(proxy::kPeerCallHeader) + ": ";
  const std::size_t begin = aHead.find(name) + name.size();
  const auto call =
    DecodePeerCall(aHead.substr(begin, aHead.find("\r\n", begin) - begin));
  REQUIRE(call.has_value());
  return call->mRankPermille * 0.001;
}

/// The rank that a node passes on for a request with this key.
double
RankOfKey(Node& aNode, const std::string& aKey)
{
  RawSocket client = aNode.Connect();
  client.Write(RequestOf("part", "Authorization: Bearer " + aKey + "\r\n"));
  RawSocket peer = aNode.Peer().Accept();
  return RankIn(peer.ReadUntil("\r\n\r\n"));
}

} // namespace

TEST_CASE("the rank of a request follows its tenant first")
{
  Node node;
  node.LearnInternal("part", false);
  routes::RouteSetSource source = MakeTenantRoutes(4);
  source.mTenants = { { "last", { core::Sha256Hex("k1") }, 5, 0, 0 },
                      { "first", { core::Sha256Hex("k2") }, 1, 0, 0 } };
  node.Activate(source);
  // Routes have the priorities 0 and 2; that of "part" is the second of them.
  CHECK(std::floor(RankOfKey(node, "k2")) == 1);
  CHECK(std::floor(RankOfKey(node, "k1")) == 3);
}

// Guards against an order of requests under overload that is not used, or that
// is used where the configuration has no tenants.
TEST_CASE("under overload the place of a request is that of its tenant")
{
  const double random = overload::PartOf(core::HashOf("id-1"));
  for (const bool tenants : { false, true }) {
    CAPTURE(tenants);
    Node node;
    node.MakeScarce("part", "tracker", 2.99);
    if (tenants) {
      node.Activate(MakeTenantRoutes(4));
    }
    // The order leaves a part above the usual requests to those in excess.
    const double usual = RankOfKey(node, "k1") - 2;
    CHECK(usual ==
          doctest::Approx(tenants ? 0.65 * random : random).epsilon(0.002));
    RawSocket client = node.Connect();
    const std::string request = RequestOf("part", kKeyLine);
    client.Write(request + request);
    std::vector<RawSocket> peers;
    std::vector<double> ranks;
    for (int i = 0; i < 2; ++i) {
      peers.push_back(node.Peer().Accept());
      ranks.push_back(RankIn(peers.back().ReadUntil("\r\n\r\n")) - 2);
    }
    CHECK(std::min(ranks[0], ranks[1]) == doctest::Approx(usual));
    // The second is behind the first.
    CHECK((std::max(ranks[0], ranks[1]) > usual + 0.01) == tenants);
  }
}

// Guards against a node that keeps a large response until it is complete, which
// takes memory and time.
TEST_CASE("a download is forwarded before it is complete")
{
  for (const std::string framing :
       { "Transfer-Encoding: chunked\r\n", "Content-Length: 1048576\r\n" }) {
    CAPTURE(framing);
    Node node;
    routes::RouteSetSource source = MakeRoutes();
    source.mVersion = 4;
    source.mRoutes[0].mKind = routes::RouteKind::Download;
    node.Activate(source);
    RawSocket client = node.Connect();
    client.Write(Node::Request("read"));
    RawSocket server = node.Server().Accept();
    server.ReadUntil("\r\n\r\n");
    const bool chunked = framing.starts_with("T");
    server.Write("HTTP/1.1 200 OK\r\nNutmegrock-Request: id-1\r\n"
                 "Nutmegrock-Seal: s\r\n" +
                 framing + "\r\n" + (chunked ? "20000\r\n" : "") +
                 std::string(0x20000, 'x'));
    CHECK(
      client.ReadUntil(std::string(0x1000, 'x')).starts_with("HTTP/1.1 200"));
  }
}
