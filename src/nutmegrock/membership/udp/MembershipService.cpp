#include "membership/udp/MembershipService.h"

#include "membership/Codec.h"
#include "membership/udp/SeedRows.h"

#include <array>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <mutex>
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>
#include <thread>
#include <utility>

namespace nutmegrock::membership::udp {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

/// Rounds in which the state Left is sent, and the delay after each.
constexpr int kLeaveRounds = 3;
constexpr std::chrono::milliseconds kLeaveRoundDelay(150);
/// Maximum time to wait for the store when leaving.
constexpr std::chrono::milliseconds kLeaveTimeout(2000);

/// Ticks per period of the protocol.
constexpr int kTicksPerPeriod = 10;

std::int64_t
WallClockMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

/// Shared with the handlers of control requests, which may outlive the service.
class MembershipService::Impl
  : public std::enable_shared_from_this<MembershipService::Impl>
{
public:
  Impl(MembershipServiceSettings aSettings, MembershipHooks aHooks)
    : mSettings(std::move(aSettings))
    , mHooks(std::move(aHooks))
    , mWork(asio::make_work_guard(mContext))
    , mSocket(mContext)
    , mTimer(mContext)
  {
  }

  core::Expected<bool> Open();
  void Start(std::shared_ptr<store::TableService> aTable);
  void Stop();
  void SetOwnState(MemberState aState,
                   std::uint32_t aSlots,
                   std::uint32_t aConnections);
  MemberViewPtr View() const;
  core::Expected<std::string> HandleControl(std::string_view aMethod,
                                            std::string_view aArgument);
  void NotifyVersion(std::uint64_t aVersion);
  void NotifyAge();
  void OnStoreRegained();
  void OnStoreChanged();
  bool HasJoined() const;
  void SetSeeds(const std::vector<core::Address>& aSeeds);
  void Leave();
  const core::Address& LocalAddress() const { return mSettings.mOwn.mAddress; }
  const MembershipCounters& Counters() const { return mCounters; }

private:
  /// Runs aDecide on the membership under the lock and performs the resulting
  /// actions on the thread of the socket.
  template<class Decide>
  void Run(Decide aDecide);
  void Perform(const Actions& aActions);
  void SendTo(const Outgoing& aOutgoing);
  void Request(const ControlRequest& aRequest);
  void StartRows(std::shared_ptr<store::TableService> aTable);
  void Receive();
  void HandleDatagram(std::size_t aSize);
  void StartTimer();
  void PublishView();
  void CopyCounts();

  MembershipServiceSettings mSettings;
  MembershipHooks mHooks;
  MembershipCounters mCounters;

  asio::io_context mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  udp::socket mSocket;
  asio::steady_timer mTimer;
  udp::endpoint mFrom;
  /// One byte more than the maximum datagram, to detect larger ones.
  std::array<char, kMaxDatagram + 1> mBuffer{};
  std::thread mThread;
  std::unique_ptr<SeedRows> mRows;

  mutable std::mutex mMutex;
  std::unique_ptr<Membership> mMembership;
  MemberViewPtr mView;
  bool mViewDirty = false;
  bool mHasServed = false;
  std::int64_t mJoinedMs = 0;
};

core::Expected<bool>
MembershipService::Impl::Open()
{
  core::Address& own = mSettings.mOwn.mAddress;
  boost::system::error_code code;
  const auto ip = asio::ip::make_address(own.mIp, code);
  const udp::endpoint endpoint(ip, own.mPort);
  if (!code) {
    mSocket.open(endpoint.protocol(), code);
  }
  if (!code) {
    mSocket.bind(endpoint, code);
  }
  if (!code) {
    mSocket.non_blocking(true, code);
  }
  if (code) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      fmt::format("cannot bind UDP socket to {}: {}",
                                  own.ToString(),
                                  code.message()));
  }
  own.mPort = mSocket.local_endpoint().port();
  mJoinedMs = WallClockMs();
  mSettings.mOwn.mJoinedMs = mJoinedMs;
  mMembership = std::make_unique<Membership>(mSettings.mProtocol,
                                             mSettings.mOwn,
                                             mHooks.mProfileVersion,
                                             mSettings.mOwn.mIncarnation.mBits,
                                             mHooks.mProfileAge);
  mMembership->SetSeeds(mSettings.mSeeds);
  mView = mMembership->View();
  return true;
}

void
MembershipService::Impl::Start(std::shared_ptr<store::TableService> aTable)
{
  Receive();
  StartTimer();
  if (aTable) {
    StartRows(std::move(aTable));
  }
  mThread = std::thread([this] { mContext.run(); });
}

void
MembershipService::Impl::StartRows(std::shared_ptr<store::TableService> aTable)
{
  SeedRowsHooks hooks;
  hooks.mOnRowsFound = [this](const std::vector<core::Address>& aFound) {
    Run([&](Membership& aMembership) {
      return aMembership.PingAddresses(core::Clock::now(), aFound);
    });
  };
  hooks.mMembers = [this] {
    const std::lock_guard lock(mMutex);
    return mMembership->Table().Present().size();
  };
  hooks.mIsGone = [this](core::Incarnation aIncarnation) {
    const std::lock_guard lock(mMutex);
    const auto* entry = mMembership->Table().Find(aIncarnation);
    return !mMembership->IsIsolated() &&
           (entry == nullptr || !entry->IsPresent());
  };
  SeedRowsSettings settings;
  settings.mStaleAfter = mSettings.mProtocol.mDeadRetention;
  mRows = std::make_unique<SeedRows>(
    std::move(aTable), mSettings.mOwn, settings, std::move(hooks), mCounters);
}

void
MembershipService::Impl::Stop()
{
  mContext.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
  mRows.reset();
}

template<class Decide>
void
MembershipService::Impl::Run(Decide aDecide)
{
  Actions actions;
  {
    const std::lock_guard lock(mMutex);
    actions = aDecide(*mMembership);
    mViewDirty = mViewDirty || actions.mViewChanged;
    CopyCounts();
  }
  if (actions.mDatagrams.empty() && actions.mRequests.empty() &&
      actions.mNewerVersions.empty() && !actions.mProfileAge &&
      actions.mRowsToRemove.empty()) {
    return;
  }
  // The context is stopped and its thread joined before this object is
  // destroyed.
  asio::dispatch(mContext,
                 [this, moved = std::move(actions)] { Perform(moved); });
}

void
MembershipService::Impl::CopyCounts()
{
  const MembershipCounts& counts = mMembership->Counts();
  mCounters.mRefuted.store(counts.mRefuted, std::memory_order_relaxed);
  mCounters.mSuspected.store(counts.mSuspected, std::memory_order_relaxed);
  mCounters.mDeclaredDead.store(counts.mDeclaredDead,
                                std::memory_order_relaxed);
}

void
MembershipService::Impl::Perform(const Actions& aActions)
{
  for (const Outgoing& outgoing : aActions.mDatagrams) {
    SendTo(outgoing);
  }
  for (const ControlRequest& request : aActions.mRequests) {
    Request(request);
  }
  for (const NewerVersion& newer : aActions.mNewerVersions) {
    if (mHooks.mOnNewerVersion) {
      mHooks.mOnNewerVersion(newer.mFrom, newer.mVersion);
    }
  }
  if (aActions.mProfileAge && mHooks.mOnProfileAge) {
    mHooks.mOnProfileAge(*aActions.mProfileAge);
  }
  for (const MemberPtr& member : aActions.mRowsToRemove) {
    if (mRows) {
      mRows->Remove(*member);
    }
  }
}

void
MembershipService::Impl::SendTo(const Outgoing& aOutgoing)
{
  boost::system::error_code code;
  const auto ip = asio::ip::make_address(aOutgoing.mTo.mIp, code);
  const std::string bytes = Encode(aOutgoing.mMessage);
  if (!code) {
    mSocket.send_to(
      asio::buffer(bytes), udp::endpoint(ip, aOutgoing.mTo.mPort), 0, code);
  }
  if (code) {
    mCounters.mSendFailed.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  mCounters.mDatagramsSent.fetch_add(1, std::memory_order_relaxed);
  mCounters.mBytesSent.fetch_add(bytes.size(), std::memory_order_relaxed);
}

void
MembershipService::Impl::Request(const ControlRequest& aRequest)
{
  mCounters.mPulls.fetch_add(1, std::memory_order_relaxed);
  auto answer = [weak = weak_from_this(),
                 id = aRequest.mId](core::Expected<std::string> aResponse) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    // Posted, since the hook may call the handler before it returns.
    asio::post(self->mContext, [weak, id, moved = std::move(aResponse)] {
      const auto impl = weak.lock();
      if (!impl) {
        return;
      }
      if (!moved) {
        impl->mCounters.mPullsFailed.fetch_add(1, std::memory_order_relaxed);
      }
      impl->Run([&](Membership& aMembership) {
        return aMembership.HandleResponse(core::Clock::now(), id, moved);
      });
    });
  };
  if (mHooks.mSendControlRequest) {
    mHooks.mSendControlRequest(aRequest.mTo,
                               aRequest.mTarget,
                               aRequest.mMethod,
                               aRequest.mArgument,
                               std::move(answer));
  } else {
    answer(core::Fail(core::ErrorKind::PeerUnreachable,
                      "no handler for control requests"));
  }
}

void
MembershipService::Impl::Receive()
{
  mSocket.async_receive_from(
    asio::buffer(mBuffer),
    mFrom,
    [this](const boost::system::error_code& aCode, std::size_t aSize) {
      if (aCode == asio::error::operation_aborted) {
        return;
      }
      // Other errors report that an earlier datagram was undeliverable.
      if (!aCode) {
        HandleDatagram(aSize);
      }
      Receive();
    });
}

void
MembershipService::Impl::HandleDatagram(std::size_t aSize)
{
  mCounters.mDatagramsReceived.fetch_add(1, std::memory_order_relaxed);
  mCounters.mBytesReceived.fetch_add(aSize, std::memory_order_relaxed);
  if (aSize > kMaxDatagram) {
    mCounters.mDroppedOversized.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  const auto message = Decode({ mBuffer.data(), aSize });
  if (!message) {
    mCounters.mDroppedMalformed.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  const core::Address from{ mFrom.address().to_string(), mFrom.port() };
  Run([&](Membership& aMembership) {
    return aMembership.Handle(core::Clock::now(), from, *message);
  });
}

void
MembershipService::Impl::StartTimer()
{
  mTimer.expires_after(mSettings.mProtocol.mPeriod / kTicksPerPeriod);
  mTimer.async_wait([this](const boost::system::error_code& aCode) {
    if (aCode) {
      return;
    }
    Run([](Membership& aMembership) {
      return aMembership.Tick(core::Clock::now());
    });
    PublishView();
    StartTimer();
  });
}

void
MembershipService::Impl::PublishView()
{
  MemberViewPtr view;
  {
    const std::lock_guard lock(mMutex);
    if (!std::exchange(mViewDirty, false)) {
      return;
    }
    mView = mMembership->View();
    view = mView;
  }
  if (mHooks.mOnViewChanged) {
    mHooks.mOnViewChanged(view);
  }
}

void
MembershipService::Impl::SetOwnState(MemberState aState,
                                     std::uint32_t aSlots,
                                     std::uint32_t aConnections)
{
  Run([&](Membership& aMembership) {
    if (aState == MemberState::Serving && !std::exchange(mHasServed, true)) {
      mJoinedMs = WallClockMs();
    }
    return aMembership.SetOwnState(core::Clock::now(),
                                   { aState, aSlots, aConnections, mJoinedMs });
  });
  asio::post(mContext, [this] { PublishView(); });
}

MemberViewPtr
MembershipService::Impl::View() const
{
  const std::lock_guard lock(mMutex);
  return mView;
}

core::Expected<std::string>
MembershipService::Impl::HandleControl(std::string_view aMethod,
                                       std::string_view aArgument)
{
  const std::lock_guard lock(mMutex);
  return mMembership->HandleControl(core::Clock::now(), aMethod, aArgument);
}

void
MembershipService::Impl::NotifyVersion(std::uint64_t aVersion)
{
  Run([&](Membership& aMembership) {
    return aMembership.NotifyVersion(aVersion);
  });
}

void
MembershipService::Impl::NotifyAge()
{
  Run([](Membership& aMembership) { return aMembership.NotifyAge(); });
}

void
MembershipService::Impl::OnStoreRegained()
{
  if (mRows) {
    mRows->Retry();
  }
}

void
MembershipService::Impl::OnStoreChanged()
{
  if (mRows) {
    mRows->Rewrite();
  }
}

bool
MembershipService::Impl::HasJoined() const
{
  if (!mRows || mRows->HasRead()) {
    return true;
  }
  const std::lock_guard lock(mMutex);
  return !mMembership->Table().Present().empty();
}

void
MembershipService::Impl::SetSeeds(const std::vector<core::Address>& aSeeds)
{
  const std::lock_guard lock(mMutex);
  mMembership->SetSeeds(aSeeds);
}

void
MembershipService::Impl::Leave()
{
  const auto until = core::Clock::now() + kLeaveTimeout;
  if (mRows) {
    mRows->Leave(kLeaveTimeout);
  }
  for (int round = 0; round < kLeaveRounds; ++round) {
    Run([](Membership& aMembership) {
      return aMembership.Leave(core::Clock::now());
    });
    std::this_thread::sleep_for(kLeaveRoundDelay);
  }
  if (mRows) {
    mRows->WaitUntil(until);
  }
}

core::Expected<std::unique_ptr<MembershipService>>
MembershipService::Start(MembershipServiceSettings aSettings,
                         std::shared_ptr<store::TableService> aTable,
                         MembershipHooks aHooks)
{
  if (auto checked = aSettings.mOwn.Check(); !checked) {
    return tl::make_unexpected(std::move(checked.error()));
  }
  auto impl = std::make_shared<Impl>(std::move(aSettings), std::move(aHooks));
  if (auto opened = impl->Open(); !opened) {
    return tl::make_unexpected(std::move(opened.error()));
  }
  impl->Start(std::move(aTable));
  return std::unique_ptr<MembershipService>(
    new MembershipService(std::move(impl)));
}

MembershipService::MembershipService(std::shared_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

MembershipService::~MembershipService()
{
  mImpl->Stop();
}

void
MembershipService::SetOwnState(MemberState aState,
                               std::uint32_t aSlots,
                               std::uint32_t aConnections)
{
  mImpl->SetOwnState(aState, aSlots, aConnections);
}

std::shared_ptr<const MemberView>
MembershipService::View() const
{
  return mImpl->View();
}

core::Expected<std::string>
MembershipService::HandleControl(std::string_view aMethod,
                                 std::string_view aArgument)
{
  return mImpl->HandleControl(aMethod, aArgument);
}

void
MembershipService::NotifyVersion(std::uint64_t aVersion)
{
  mImpl->NotifyVersion(aVersion);
}

void
MembershipService::NotifyAge()
{
  mImpl->NotifyAge();
}

void
MembershipService::OnStoreRegained()
{
  mImpl->OnStoreRegained();
}

void
MembershipService::OnStoreChanged()
{
  mImpl->OnStoreChanged();
}

bool
MembershipService::HasJoined() const
{
  return mImpl->HasJoined();
}

void
MembershipService::SetSeeds(const std::vector<core::Address>& aSeeds)
{
  mImpl->SetSeeds(aSeeds);
}

void
MembershipService::Leave()
{
  mImpl->Leave();
}

const core::Address&
MembershipService::LocalAddress() const
{
  return mImpl->LocalAddress();
}

const MembershipCounters&
MembershipService::Counters() const
{
  return mImpl->Counters();
}

} // namespace nutmegrock::membership::udp
