#pragma once

#include "core/Address.h"
#include "core/Error.h"
#include "core/Incarnation.h"
#include "membership/MemberView.h"
#include "membership/Membership.h"
#include "membership/udp/MembershipCounters.h"
#include "store/TableService.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::membership::udp {

/// What the node connects to the membership. Hooks run on the service's own
/// threads without its lock held; each may be empty.
struct MembershipHooks
{
  /// Profile version in force at this node.
  std::function<std::uint64_t()> mProfileVersion;
  /// A member has a higher profile version than mProfileVersion returns.
  std::function<void(core::Address, std::uint64_t)> mOnNewerVersion;
  /// The view changed. Changes within 100 ms are reported together.
  std::function<void(std::shared_ptr<const MemberView>)> mViewChanged;
  /// Makes a control request over TCP: peer address, its incarnation, method,
  /// argument. The handler may run on any thread and may outlive the service.
  std::function<void(core::Address,
                     core::Incarnation,
                     std::string,
                     std::string,
                     std::function<void(core::Expected<std::string>)>)>
    mSendControlRequest;
};

struct MembershipServiceSettings
{
  MembershipSettings mProtocol;
  /// Record of the own node: incarnation, address (the UDP socket is bound to
  /// it; port 0 lets the system choose), service, region, availability zone,
  /// slots and connections.
  Member mOwn;
  /// Peer addresses of other nodes, used besides the rows of the store.
  std::vector<core::Address> mSeeds;
};

/// Runs a Membership: one UDP socket on the peer address, a timer, and a thread
/// for the seed rows in the table service, whose calls block.
class MembershipService
{
public:
  /// Binds the socket and starts. aTable may be null: then only the seeds of
  /// the settings are used. Fails with InvalidSettings when the record is not
  /// valid or the address cannot be bound.
  static core::Expected<std::unique_ptr<MembershipService>> Start(
    MembershipServiceSettings aSettings,
    std::shared_ptr<store::TableService> aTable,
    MembershipHooks aHooks);

  MembershipService(const MembershipService&) = delete;
  MembershipService& operator=(const MembershipService&) = delete;
  /// Stops without leaving: others find the node dead.
  ~MembershipService();

  /// Publishes a changed state of the own node. The first change to Serving
  /// sets the joined time.
  void SetOwnState(MemberState aState,
                   std::uint32_t aSlots,
                   std::uint32_t aConnections);
  /// The members at present. Safe from any thread.
  std::shared_ptr<const MemberView> View() const;
  /// Answers a control request, "members.pull". Fails as
  /// Membership::HandleControl().
  core::Expected<std::string> HandleControl(std::string_view aMethod,
                                            std::string_view aArgument);
  /// Tells 4 random members of a profile version.
  void NotifyVersion(std::uint64_t aVersion);
  /// Spreads the state Left and removes the seed row. Blocks for about half a
  /// second, and no longer than 2 s while the store does not answer.
  void Leave();

  /// Address of the socket.
  const core::Address& LocalAddress() const;
  const MembershipCounters& Counters() const;

private:
  class Impl;
  explicit MembershipService(std::shared_ptr<Impl> aImpl);

  std::shared_ptr<Impl> mImpl;
};

} // namespace nutmegrock::membership::udp
