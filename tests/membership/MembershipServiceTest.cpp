#include "membership/udp/MembershipService.h"
#include "membership/udp/SeedRows.h"
#include "tests/membership/FakeTable.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

using namespace nutmegrock;
using namespace nutmegrock::membership;
using namespace nutmegrock::membership::udp;
using namespace std::chrono_literals;

namespace {

/// Waits until a condition holds; the limit is reached only by a failing test.
template<class Condition>
bool
Eventually(Condition aCondition)
{
  const auto limit = std::chrono::steady_clock::now() + 30s;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > limit) {
      return false;
    }
    std::this_thread::sleep_for(5ms);
  }
  return true;
}

/// Services on the loopback interface whose control requests are direct calls.
class Group
{
public:
  struct Node
  {
    std::unique_ptr<MembershipService> mService;
    std::atomic<std::uint64_t> mVersion{ 0 };
    std::atomic<std::uint64_t> mSeenVersion{ 0 };
    std::atomic<std::size_t> mViews{ 0 };

    std::size_t Alive() const { return mService->View()->Alive(); }
  };

  ~Group()
  {
    // The services must end before the group, to which their hooks refer.
    for (auto& node : mNodes) {
      Stop(*node);
    }
  }

  Node& Add(std::vector<core::Address> aSeeds,
            std::shared_ptr<store::TableService> aTable = nullptr,
            const std::string& aRegion = "khomas")
  {
    MembershipServiceSettings settings;
    settings.mProtocol.mPeriod = 100ms;
    settings.mProtocol.mPingTimeout = 50ms;
    settings.mProtocol.mSeedInterval = 50ms;
    settings.mOwn.mIncarnation = { 0x1000000000000000ULL * ++mCount };
    settings.mOwn.mAddress = { "127.0.0.1", 0 };
    settings.mOwn.mService = "tracker";
    settings.mOwn.mRegion = aRegion;
    settings.mOwn.mAvailabilityZone = aRegion + "-a";
    settings.mSeeds = std::move(aSeeds);
    auto node = std::make_unique<Node>();
    Node* raw = node.get();
    MembershipHooks hooks;
    hooks.mProfileVersion = [raw] { return raw->mVersion.load(); };
    hooks.mOnNewerVersion = [raw](const core::Address&,
                                  std::uint64_t aVersion) {
      raw->mSeenVersion = aVersion;
    };
    hooks.mOnViewChanged = [raw](const MemberViewPtr&) { ++raw->mViews; };
    hooks.mSendControlRequest = [this](const core::Address& aTo,
                                       core::Incarnation,
                                       const std::string& aMethod,
                                       const std::string& aArgument,
                                       const auto& aHandler) {
      std::unique_lock lock(mMutex);
      const auto found = mByPort.find(aTo.mPort);
      if (found == mByPort.end()) {
        aHandler(core::Fail(core::ErrorKind::PeerUnreachable, "no node"));
        return;
      }
      aHandler(found->second->HandleControl(aMethod, aArgument));
    };
    auto started =
      MembershipService::Start(settings, std::move(aTable), std::move(hooks));
    REQUIRE(started.has_value());
    node->mService = std::move(*started);
    const std::lock_guard lock(mMutex);
    mByPort[node->mService->LocalAddress().mPort] = node->mService.get();
    mNodes.push_back(std::move(node));
    return *mNodes.back();
  }

  void Stop(Node& aNode)
  {
    if (aNode.mService) {
      {
        const std::lock_guard lock(mMutex);
        mByPort.erase(aNode.mService->LocalAddress().mPort);
      }
      aNode.mService.reset();
    }
  }

private:
  std::mutex mMutex;
  std::uint64_t mCount = 0;
  std::map<std::uint16_t, MembershipService*> mByPort;
  std::vector<std::unique_ptr<Node>> mNodes;
};

} // namespace

TEST_SUITE("membership/udp/MembershipService")
{
  TEST_CASE("nodes find one another through seeds of the settings")
  {
    Group group;
    auto& one = group.Add({});
    auto& two = group.Add({ one.mService->LocalAddress() });
    auto& three = group.Add({ one.mService->LocalAddress() });
    for (const auto* node : { &one, &two, &three }) {
      CHECK(Eventually([&] { return node->Alive() == 3; }));
    }
    two.mService->SetOwnState(MemberState::Serving, 130, 850);
    CHECK(Eventually([&] {
      const auto members = three.mService->View()->OfService("tracker");
      return std::count_if(members.begin(), members.end(), [](auto& aMember) {
               return aMember->mState == MemberState::Serving &&
                      aMember->mSlots == 130;
             }) == 1;
    }));
    CHECK(one.mViews > 0);
    const auto& counters = one.mService->Counters();
    CHECK(counters.mDatagramsReceived > 0);
    CHECK(counters.mBytesSent > 0);
  }

  // A stopped node that is not dropped would receive calls until it is ejected.
  TEST_CASE("a node that leaves goes at once, one that stops is found dead")
  {
    Group group;
    auto& one = group.Add({});
    std::vector<Group::Node*> others;
    others.reserve(4);
    for (int i = 0; i < 4; ++i) {
      others.push_back(&group.Add({ one.mService->LocalAddress() }));
    }
    REQUIRE(Eventually([&] { return one.Alive() == 5; }));
    others[0]->mService->Leave();
    CHECK(Eventually([&] { return one.Alive() == 4; }));
    group.Stop(*others[1]);
    CHECK(Eventually([&] { return one.Alive() == 3; }));
  }

  TEST_CASE("a version notice and a ping report a higher profile version")
  {
    Group group;
    auto& one = group.Add({});
    auto& two = group.Add({ one.mService->LocalAddress() });
    REQUIRE(Eventually([&] { return one.Alive() == 2 && two.Alive() == 2; }));
    one.mService->NotifyVersion(7);
    CHECK(Eventually([&] { return two.mSeenVersion == 7; }));
    one.mVersion = 8;
    CHECK(Eventually([&] { return two.mSeenVersion == 8; }));
  }

  TEST_CASE("malformed and oversized datagrams are counted and dropped")
  {
    Group group;
    auto& node = group.Add({});
    boost::asio::io_context context;
    boost::asio::ip::udp::socket socket(context, boost::asio::ip::udp::v4());
    const boost::asio::ip::udp::endpoint to(
      boost::asio::ip::make_address("127.0.0.1"),
      node.mService->LocalAddress().mPort);
    socket.send_to(boost::asio::buffer(std::string("nonsense")), to);
    socket.send_to(boost::asio::buffer(std::string(1201, 'x')), to);
    socket.send_to(boost::asio::buffer(std::string(5000, 'x')), to);
    const auto& counters = node.mService->Counters();
    CHECK(Eventually([&] {
      return counters.mDroppedMalformed == 1 && counters.mDroppedOversized == 2;
    }));
    CHECK(node.Alive() == 1);
  }

  TEST_CASE("a node starts without the store and joins when it is back")
  {
    Group group;
    const auto table = std::make_shared<FakeTable>();
    table->mDown = true;
    auto& one = group.Add({}, table);
    auto& two = group.Add({}, table, "zambezi");
    CHECK(
      Eventually([&] { return one.mService->Counters().mStoreFailed > 0; }));
    CHECK(one.Alive() == 1);
    // Guards against a node that gets callers and cannot serve them.
    CHECK_FALSE(one.mService->HasJoined());
    table->mDown = false;
    // Node two is in another region, so it is found only through the ring of
    // regions.
    CHECK(Eventually([&] { return one.Alive() == 2 && two.Alive() == 2; }));
    CHECK(one.mService->HasJoined());
    CHECK(two.mService->HasJoined());
    const auto view = one.mService->View();
    const std::string key =
      SeedRows::KeyOf(*view->Find({ 0x1000000000000000ULL }));
    CHECK(key == "nodes/khomas/1000000000000000");
    CHECK(table->Has(key));
    one.mService->Leave();
    CHECK_FALSE(table->Has(key));
  }

  // Guards against seeds that are added to the settings and not used until the
  // node is started again.
  TEST_CASE("a node joins through seeds that are set while it runs")
  {
    Group group;
    auto& one = group.Add({}, nullptr);
    auto& two = group.Add({}, nullptr);
    CHECK(one.Alive() == 1);
    one.mService->SetSeeds({ two.mService->LocalAddress() });
    CHECK(Eventually([&] { return one.Alive() == 2 && two.Alive() == 2; }));
  }

  TEST_CASE("an invalid record is rejected at the start")
  {
    MembershipServiceSettings settings;
    settings.mOwn.mIncarnation = { 1 };
    settings.mOwn.mAddress = { "127.0.0.1", 0 };
    settings.mOwn.mService = "tracker";
    settings.mOwn.mRegion = "kho/mas";
    settings.mOwn.mAvailabilityZone = "a";
    const auto started = MembershipService::Start(settings, nullptr, {});
    REQUIRE_FALSE(started.has_value());
    CHECK(started.error().mKind == core::ErrorKind::InvalidSettings);
  }
}
