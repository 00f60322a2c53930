#pragma once

#include "limits/Admission.h"
#include "metrics/Registry.h"
#include "node/ActiveCalls.h"
#include "node/Environment.h"
#include "once/Dispatch.h"
#include "once/ExecutionLedger.h"
#include "transport/Call.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace nutmegrock::node {

/// Readiness of the local backend server.
enum class ServerState : std::uint8_t
{
  /// Not announced yet.
  Starting,
  Serving,
  /// Leaving: new work is refused, accepted work finishes.
  Draining
};

struct ServingSettings
{
  std::string mService;
  limits::AdmissionSettings mAdmission;
  /// If false, every call goes to the backend server without admission control.
  bool mAdmissionEnabled = true;
  /// Secret that authenticates idempotency keys.
  std::string mSecret;
};

/// Snapshot for the status report.
struct ServingStatus
{
  ServerState mState = ServerState::Starting;
  std::uint32_t mLimit = 0;
  std::uint32_t mInFlight = 0;
  std::uint32_t mWaiting = 0;
  core::Level mLevel;
};

/// Server side of a node: applies admission control to calls for the local
/// backend server and forwards the admitted ones. Handle() is safe from any
/// thread.
class ServingSide : public std::enable_shared_from_this<ServingSide>
{
public:
  /// Fails with InvalidSettings. The referenced objects must outlive this
  /// object.
  static core::Expected<std::shared_ptr<ServingSide>> Create(
    ServingSettings aSettings,
    Environment aEnvironment,
    ActiveCalls& aCalls,
    transport::BackendClient& aBackend,
    once::ExecutionLedger& aLedger,
    metrics::Registry& aRegistry);

  /// Calls aHandler exactly once, from any thread.
  void Handle(transport::PeerCall aCall, transport::PeerResultHandler aHandler);

  void SetState(ServerState aState) { mState = aState; }
  ServerState State() const { return mState; }
  /// Sets the number of slots that the backend server announced.
  void SetSlots(std::uint32_t aSlots);
  ServingStatus Status() const;
  /// Number of calls waiting or in flight.
  std::size_t Pending() const;

private:
  struct ServingCall
  {
    explicit ServingCall(transport::PeerCall aCall)
      : mCall(std::move(aCall))
    {
    }

    std::uint64_t mId = 0;
    transport::PeerCall mCall;
    transport::PeerResultHandler mHandler;
    std::shared_ptr<ActiveCall> mActive;
    core::TimePoint mArrived;
    core::TimePoint mStarted;
    /// Set for a call that must run at most once.
    std::optional<once::Dispatch> mDispatch;
  };
  using ServingCallPtr = std::shared_ptr<ServingCall>;

  ServingSide(ServingSettings aSettings,
              Environment aEnvironment,
              ActiveCalls& aCalls,
              transport::BackendClient& aBackend,
              once::ExecutionLedger& aLedger,
              metrics::Registry& aRegistry,
              limits::Admission aAdmission);

  core::Expected<bool> CheckAcceptable(const transport::PeerCall& aCall) const;
  /// Records the start of a keyed call in the ledger; fails if it must not run
  /// here.
  core::Expected<bool> Claim(const ServingCallPtr& aCall);
  void Admit(const ServingCallPtr& aCall);
  void OnCancel(std::uint64_t aId);
  void Apply(const limits::AdmissionResult& aResult);
  void Tick();
  void ScheduleTick();
  /// Sends an admitted call to the backend server.
  void Start(const ServingCallPtr& aCall);
  void OnResponse(const ServingCallPtr& aCall,
                  core::Expected<transport::Response> aResponse);
  void OnResponseHead(const ServingCallPtr& aCall,
                      transport::Response aResponse);
  void ForwardResponse(const ServingCallPtr& aCall,
                       transport::Response aResponse);
  void OnFailure(const ServingCallPtr& aCall, core::Error aError);
  /// Releases the slot of a call that has ended at the backend server.
  void Release(const ServingCallPtr& aCall, limits::CallOutcomeKind aEnd);
  void Refuse(const ServingCallPtr& aCall, core::Error aError);
  void Count(std::string_view aName,
             const ServingCall& aCall,
             std::string_view aReason);
  core::CallFeedback FeedbackOf(const ServingCall& aCall) const;
  ServingCallPtr Take(std::uint64_t aId);
  ServingCallPtr Find(std::uint64_t aId) const;

  const ServingSettings mSettings;
  const Environment mEnvironment;
  ActiveCalls& mCalls;
  transport::BackendClient& mBackend;
  once::ExecutionLedger& mLedger;
  metrics::Registry& mRegistry;
  std::atomic<ServerState> mState{ ServerState::Starting };
  std::atomic<std::uint64_t> mNextId{ 1 };
  mutable std::mutex mMutex;
  limits::Admission mAdmission;
  std::unordered_map<std::uint64_t, ServingCallPtr> mPending;
  core::TimePoint mNextTick = core::TimePoint::max();
};

} // namespace nutmegrock::node
