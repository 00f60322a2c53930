// The components of a running node that handle the allowances of tenants.
#include "gateway/AllowanceExchange.h"
#include "gateway/GatewayComponents.h"

namespace nutmegrock::gateway {

void
GatewayRuntime::Components::OpenAllowances()
{
  mTenantAllowances = AllowanceExchange::Create(
    { mIo, *mPeerClient, mRegistry, [] { return core::Clock::now(); } }, mSelf);
  mEntry->SetAllowances(mTenantAllowances.get());
}

core::Expected<std::string>
GatewayRuntime::Components::HandleControl(core::Incarnation aFrom,
                                          const std::string& aMethod,
                                          const std::string& aArgument)
{
  if (aMethod == routes::RouteSync::kMethod) {
    return mRouteSync->HandlePull();
  }
  if (AllowanceExchange::IsMethod(aMethod)) {
    return mTenantAllowances->Handle(aFrom, aMethod, aArgument);
  }
  return mMembership->HandleControl(aMethod, aArgument);
}

// A node that finds no others in the store has joined although its view does
// not change.
void
GatewayRuntime::Components::TickAllowances()
{
  if (!mAllowancesJoined && mMembership->HasJoined()) {
    mAllowancesJoined = true;
    mTenantAllowances->OnView(*mMembership->View(), true);
  }
  mTenantAllowances->Tick();
}

} // namespace nutmegrock::gateway
