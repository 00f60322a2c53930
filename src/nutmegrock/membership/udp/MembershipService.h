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

/// Hooks of the node. They run on the threads of the service without its lock
/// held; each may be empty.
struct MembershipHooks
{
  /// Returns the profile version in force on this node.
  std::function<std::uint64_t()> mProfileVersion;
  /// Returns when the store held no higher profile version than this node has
  /// in force; nullopt if it is not known.
  Outbox::AgeHook mProfileAge;
  /// Called when a member has a higher profile version than mProfileVersion
  /// returns.
  std::function<void(core::Address, std::uint64_t)> mOnNewerVersion;
  /// Called when a member that has no higher profile version than this node
  /// tells how old its own is.
  std::function<void(const ProfileAge&)> mOnProfileAge;
  /// Called when the view changed. Changes within 100 ms are reported together.
  std::function<void(std::shared_ptr<const MemberView>)> mOnViewChanged;
  /// Sends a control request over TCP: peer address, its incarnation, method,
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
  /// Record of this node: incarnation, address (the UDP socket is bound to it;
  /// with port 0 the system chooses one), service, region, availability zone,
  /// slots and connections.
  Member mOwn;
  /// Peer addresses of other nodes, used in addition to the seed rows of the
  /// store.
  std::vector<core::Address> mSeeds;
};

/// Runs a Membership with a UDP socket on the peer address, a timer, and a
/// thread for the seed rows, since calls to the table service block.
class MembershipService
{
public:
  /// Binds the socket and starts. With a null aTable only the seeds of the
  /// settings are used. Fails with InvalidSettings if the record is invalid or
  /// the address cannot be bound.
  static core::Expected<std::unique_ptr<MembershipService>> Start(
    MembershipServiceSettings aSettings,
    std::shared_ptr<store::TableService> aTable,
    MembershipHooks aHooks);

  MembershipService(const MembershipService&) = delete;
  MembershipService& operator=(const MembershipService&) = delete;
  /// Stops without leaving: the other members declare the node dead.
  ~MembershipService();

  /// Publishes a changed state of this node. The first change to Serving sets
  /// the joined time.
  void SetOwnState(MemberState aState,
                   std::uint32_t aSlots,
                   std::uint32_t aConnections);
  /// The current members. Thread-safe.
  std::shared_ptr<const MemberView> View() const;
  /// Handles the control request "members.pull". Fails as
  /// Membership::HandleControl() does.
  core::Expected<std::string> HandleControl(std::string_view aMethod,
                                            std::string_view aArgument);
  /// Notifies 4 random members of a profile version.
  void NotifyVersion(std::uint64_t aVersion);
  /// Notifies 4 random members of the age of the profile version in force.
  void NotifyAge();
  /// Reports that the store answers again, so that a node which waits to find
  /// the others does so soon. Does not block.
  void OnStoreRegained();
  /// Reports that the store has another address.
  void OnStoreChanged();
  /// True if another member is present, or none was found in the store.
  bool HasJoined() const;
  /// Replaces the seeds of the settings.
  void SetSeeds(const std::vector<core::Address>& aSeeds);
  /// Disseminates the state Left and removes the seed row. Blocks for about
  /// half a second, and for at most 2 s while the store is unavailable.
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
