#pragma once

#include "core/Address.h"
#include "core/Error.h"
#include "core/Incarnation.h"
#include "core/Time.h"
#include "membership/MemberView.h"
#include "metrics/Registry.h"
#include "quota/AllowanceClient.h"
#include "quota/AllowanceOwner.h"
#include "routes/RouteSet.h"
#include "transport/peer/PeerClient.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace nutmegrock::gateway {

/// Exchanges the allowances of tenants with the other nodes: asks owners for
/// tokens, and answers as the owner. Used on the thread of the io_context.
class AllowanceExchange : public std::enable_shared_from_this<AllowanceExchange>
{
public:
  /// Names of the control requests: tokens for tenants, and to cede tenants to
  /// a new owner.
  static constexpr std::string_view kTake = "allowance.take";
  static constexpr std::string_view kCede = "allowance.cede";

  struct Dependencies
  {
    boost::asio::io_context& mIo;
    /// Closed before this object is destroyed.
    transport::peer::PeerClient& mClient;
    metrics::Registry& mRegistry;
    std::function<core::TimePoint()> mNow;
  };

  static std::shared_ptr<AllowanceExchange> Create(Dependencies aDependencies,
                                                   core::Incarnation aSelf);

  /// Decides whether a request of a tenant may run; see AllowanceClient. An
  /// empty name is unlimited.
  std::uint64_t Take(const std::string& aTenant,
                     quota::AllowanceCallback aCallback);
  void Cancel(std::uint64_t aTicket) { mTokens.Cancel(aTicket); }
  /// The request was not sent to a server.
  void Return(std::string_view aTenant, core::TimePoint aReturnableUntil);

  static bool IsMethod(std::string_view aMethod)
  {
    return aMethod == kTake || aMethod == kCede;
  }
  /// Handles a control request of another node. Fails with BadRequest.
  core::Expected<std::string> Handle(core::Incarnation aFrom,
                                     std::string_view aMethod,
                                     std::string_view aArgument);
  /// @param aJoined false as long as this node has not found the others
  void OnView(const membership::MemberView& aView, bool aJoined);
  void OnRoutes(const routes::RouteSet& aRoutes);
  /// To be called every 20 ms.
  void Tick();
  /// This node stops, and owns nothing any more.
  void StartLeaving();
  /// Lines for the status page.
  std::string StatusText() const;

private:
  struct TenantCounters
  {
    metrics::Counter* mGranted = nullptr;
    metrics::Counter* mRefused = nullptr;
    metrics::Counter* mFallback = nullptr;
  };

  AllowanceExchange(Dependencies aDependencies, core::Incarnation aSelf);

  core::Expected<std::string> HandleTake(core::Incarnation aFrom,
                                         std::string_view aArgument);
  core::Expected<std::string> HandleCede(core::Incarnation aFrom,
                                         std::string_view aArgument);
  void SendCedeRequests();
  /// Sends a control request; fails if the member is not known.
  void Control(
    core::Incarnation aTo,
    std::string_view aMethod,
    std::string aArgument,
    std::function<void(const core::Expected<std::string>&)> aHandler);
  TenantCounters& CountersOf(const std::string& aTenant);
  void Count(const std::string& aTenant,
             const quota::AllowanceDecision& aDecision);
  void AddLeaving(core::TimePoint aNow, const quota::TakeRequest& aRequest);
  /// Sends what is due at the end of the present iteration of the event loop,
  /// so that requests of one iteration share messages.
  void ScheduleSend();
  void SendDue();
  void Send(const quota::AllowanceAsk& aAsk);
  void OnResult(std::uint64_t aAsk, const core::Expected<std::string>& aResult);

  const Dependencies mDependencies;
  const core::Incarnation mSelf;
  quota::AllowanceOwner mOwner;
  quota::AllowanceClient mTokens;
  struct Peer
  {
    core::Address mAddress;
    bool mIsLeaving = false;
  };
  std::map<core::Incarnation, Peer> mPeers;
  std::map<std::string, TenantCounters> mCounters;
  metrics::Counter& mAsked;
  metrics::Counter& mAskFailed;
  metrics::Counter& mAnswered;
  metrics::Counter& mInvalid;
  bool mHasJoined = false;
  bool mSendDue = false;
};

} // namespace nutmegrock::gateway
