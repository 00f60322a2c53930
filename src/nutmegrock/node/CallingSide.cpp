#include "node/CallingSide.h"

#include "node/ContextRules.h"
#include "transport/http/ErrorResponse.h"

#include <optional>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::node {

namespace {

constexpr std::size_t kMaxNoticeBytes = 4096;

bool
IsFailure(const OutgoingResult& aResult)
{
  return !aResult.mResponse ||
         aResult.mResponse->mHead.mStatus >= kMinServerError;
}

/// Returns an error if the whole request is shed at its entry node, before
/// anything is sent.
std::optional<core::Error>
CheckLevel(const OutgoingDependencies& aDependencies,
           core::TimePoint aNow,
           const std::string& aService,
           const core::CallContext& aContext)
{
  if (!aDependencies.mOverloadEnabled) {
    return std::nullopt;
  }
  const auto refusal =
    aDependencies.mLevels.Check(aNow,
                                aService,
                                aContext.mProfile,
                                aContext.mImportance,
                                aContext.mRequest.CohortOf());
  if (!refusal) {
    return std::nullopt;
  }
  core::Error error = core::MakeError(
    *refusal,
    fmt::format(
      "profile \"{}\" is being shed at \"{}\"", aContext.mProfile, aService));
  error.mRetryAfter = std::chrono::seconds(1);
  return error;
}

} // namespace

CallingSide::CallingSide(
  std::shared_ptr<const OutgoingDependencies> aDependencies,
  CurrentProfiles aProfiles,
  ActiveCalls& aCalls,
  KeyedCalls& aKeyed,
  retry::ResendTracker& aResends,
  NoticeHandler aNotice)
  : mDependencies(std::move(aDependencies))
  , mProfiles(std::move(aProfiles))
  , mCalls(aCalls)
  , mKeyed(aKeyed)
  , mResends(aResends)
  , mNotice(std::move(aNotice))
{
}

core::RequestId
CallingSide::NewRequest() const
{
  const auto& random = mDependencies->mEnvironment.mRandom;
  return core::RequestId::FromBits(random(), random());
}

void
CallingSide::RefuseEarly(const std::string& aService,
                         const core::Error& aError,
                         const transport::ResponseHandler& aHandler)
{
  mDependencies->mRegistry
    .CounterOf("nutmegrock_entry_refused_total",
               { { "service", aService },
                 { "reason", std::string(core::RowOf(aError.mKind).mName) } })
    .Add();
  aHandler(tl::make_unexpected(aError));
}

std::optional<CallingSide::Prepared>
CallingSide::Prepare(const std::string& aService,
                     const transport::Call& aCall,
                     const transport::ResponseHandler& aHandler)
{
  auto headers = CallerHeaders::Parse(aCall.mHead.mHeaders);
  if (!headers) {
    RefuseEarly(aService, headers.error(), aHandler);
    return std::nullopt;
  }
  Profiles profiles = mProfiles();
  if (profiles == nullptr) {
    RefuseEarly(aService,
                core::MakeError(core::ErrorKind::NoProfiles,
                                "no profiles are in force at this node yet"),
                aHandler);
    return std::nullopt;
  }
  return Prepared{ std::move(*headers), std::move(profiles) };
}

void
CallingSide::HandleCaller(transport::Call aCall,
                          transport::ResponseHandler aHandler)
{
  const auto target = CallTarget::Parse(aCall.mHead.mTarget);
  if (!target || target->mKind == TargetKind::Notice) {
    RefuseEarly("",
                target ? core::MakeError(core::ErrorKind::NotFound,
                                         "notices are for the backend listener")
                       : target.error(),
                aHandler);
    return;
  }
  const auto prepared = Prepare(target->mName, aCall, aHandler);
  if (!prepared) {
    return;
  }
  if (target->mKind == TargetKind::Keys) {
    SendKey(aHandler);
    return;
  }
  HandleEntryCall(*target, *prepared, std::move(aCall), std::move(aHandler));
}

void
CallingSide::HandleEntryCall(const CallTarget& aTarget,
                             const Prepared& aPrepared,
                             transport::Call aCall,
                             transport::ResponseHandler aHandler)
{
  const core::TimePoint now = mDependencies->mEnvironment.mNow();
  auto context = EntryContext(
    now, *aPrepared.mProfiles, aTarget.mName, aPrepared.mHeaders, NewRequest());
  if (!context) {
    RefuseEarly(aTarget.mName, context.error(), aHandler);
    return;
  }
  mDependencies->mRegistry
    .CounterOf(
      "nutmegrock_requests_total",
      { { "service", aTarget.mName }, { "profile", context->mProfile } })
    .Add();
  auto handler = WrapHandler(aTarget.mName, *context, std::move(aHandler));
  if (const auto refusal =
        CheckLevel(*mDependencies, now, aTarget.mName, *context)) {
    handler(tl::make_unexpected(*refusal));
    return;
  }
  if (!context->mIdempotent && context->mKey.empty()) {
    SendKeyRequired(*context, handler);
    return;
  }
  const auto remaining =
    mResends.OnArrival(now, context->mRequest, context->mRetryBudget);
  if (!remaining && mDependencies->mOverloadEnabled) {
    handler(tl::make_unexpected(remaining.error()));
    return;
  }
  context->mRetryBudget = remaining.value_or(0);
  aCall.mHead.mTarget = aTarget.mPath;
  const core::RequestId request = context->mRequest;
  Send(aTarget.mName,
       std::move(*context),
       std::move(aCall),
       [this, request, handler = std::move(handler)](OutgoingResult aResult) {
         if (aResult.mSent) {
           mResends.OnEnd(request, aResult.mUnusedRetries);
         } else {
           mResends.OnRefused(request, aResult.mUnusedRetries);
         }
         handler(std::move(aResult.mResponse));
       });
}

void
CallingSide::SendKey(const transport::ResponseHandler& aHandler)
{
  const std::string key = mKeyed.IssueKey();
  transport::Response response;
  response.mHead.mHeaders = { { "Content-Type", "application/json" },
                              { std::string(kKeyHeader), key } };
  const std::string body = fmt::format("{{\"key\":\"{}\"}}", key);
  response.mHead.mBodySize = body.size();
  response.mBody = transport::StringBody(body);
  aHandler(std::move(response));
}

void
CallingSide::SendKeyRequired(const core::CallContext& aContext,
                             const transport::ResponseHandler& aHandler)
{
  mDependencies->mRegistry
    .CounterOf("nutmegrock_key_required_total",
               { { "profile", aContext.mProfile } })
    .Add();
  transport::Response response = transport::http::ErrorResponse(core::MakeError(
    core::ErrorKind::KeyRequired,
    fmt::format("profile \"{}\" is not idempotent; send the call again with "
                "the key of this response",
                aContext.mProfile)));
  response.mHead.mHeaders.push_back(
    { std::string(kKeyHeader), mKeyed.IssueKey() });
  aHandler(std::move(response));
}

void
CallingSide::Send(const std::string& aService,
                  core::CallContext aContext,
                  transport::Call aCall,
                  OutgoingHandler aHandler)
{
  if (!aContext.mIdempotent && !aContext.mKey.empty()) {
    mKeyed.Run(
      aService, std::move(aContext), std::move(aCall), std::move(aHandler));
  } else if (!aContext.mIdempotent) {
    mKeyed.RunWithNewKey(
      aService, std::move(aContext), std::move(aCall), std::move(aHandler));
  } else {
    OutgoingCall::Create(mDependencies,
                         aService,
                         std::move(aContext),
                         std::move(aCall),
                         std::move(aHandler))
      ->Start();
  }
}

transport::ResponseHandler
CallingSide::WrapHandler(const std::string& aService,
                         const core::CallContext& aContext,
                         transport::ResponseHandler aHandler)
{
  return [this,
          service = aService,
          profile = aContext.mProfile,
          request = aContext.mRequest,
          started = mDependencies->mEnvironment.mNow(),
          handler = std::move(aHandler)](
           core::Expected<transport::Response> aResponse) {
    metrics::Registry& registry = mDependencies->mRegistry;
    const metrics::Labels labels = { { "service", service },
                                     { "profile", profile } };
    if (aResponse) {
      registry.CounterOf("nutmegrock_answered_total", labels).Add();
      const auto latency =
        core::ToMicros(mDependencies->mEnvironment.mNow() - started);
      registry.SummaryOf("nutmegrock_request_latency_us", labels)
        .Add(static_cast<double>(latency));
      aResponse->mHead.mHeaders.push_back(
        { std::string(kRequestHeader), request.ToString() });
      aResponse->mHead.mHeaders.push_back(
        { std::string(kRunHeader),
          std::string(core::NameOf(core::RunCertainty::Ran)) });
    } else {
      metrics::Labels with_reason = labels;
      with_reason.emplace_back("reason",
                               core::RowOf(aResponse.error().mKind).mName);
      registry.CounterOf("nutmegrock_entry_refused_total", with_reason).Add();
    }
    handler(std::move(aResponse));
  };
}

void
CallingSide::HandleBackend(transport::Call aCall,
                           transport::ResponseHandler aHandler)
{
  const auto target = CallTarget::Parse(aCall.mHead.mTarget);
  if (!target) {
    RefuseEarly("", target.error(), aHandler);
    return;
  }
  if (target->mKind == TargetKind::Notice) {
    Notify(*target, aCall, std::move(aHandler));
    return;
  }
  const auto prepared = Prepare(target->mName, aCall, aHandler);
  if (prepared) {
    HandleNestedCall(*target, *prepared, std::move(aCall), std::move(aHandler));
  }
}

void
CallingSide::HandleNestedCall(const CallTarget& aTarget,
                              const Prepared& aPrepared,
                              transport::Call aCall,
                              transport::ResponseHandler aHandler)
{
  const auto parent = mCalls.Find(aPrepared.mHeaders.mCall);
  if (parent == nullptr) {
    HandleOrphanCall(
      aTarget, aPrepared.mProfiles, std::move(aCall), std::move(aHandler));
    return;
  }
  const retry::RetryGrant grant = parent->GrantRetries();
  auto context = NestedContext(
    parent->Context(), *aPrepared.mProfiles, aPrepared.mHeaders, grant.mAmount);
  if (!context) {
    parent->OnNestedCallEnd(grant.mId, grant.mAmount, {}, false);
    RefuseEarly(aTarget.mName, context.error(), aHandler);
    return;
  }
  aCall.mHead.mTarget = aTarget.mPath;
  if (parent->Context().mIdempotent && parent->Cancel() != nullptr &&
      aCall.mCancellation != nullptr) {
    // Cancelling the parent cancels its nested calls, unless the outcome of the
    // parent must become known.
    parent->Cancel()->OnCancel([weak = std::weak_ptr(aCall.mCancellation)] {
      if (const auto cancellation = weak.lock()) {
        cancellation->Cancel();
      }
    });
  }
  Send(aTarget.mName,
       std::move(*context),
       std::move(aCall),
       [parent, grant, handler = std::move(aHandler)](OutgoingResult aResult) {
         parent->OnNestedCallEnd(grant.mId,
                                 aResult.mUnusedRetries,
                                 aResult.mLevel,
                                 IsFailure(aResult));
         handler(std::move(aResult.mResponse));
       });
}

void
CallingSide::HandleOrphanCall(const CallTarget& aTarget,
                              const Profiles& aProfiles,
                              transport::Call aCall,
                              transport::ResponseHandler aHandler)
{
  mDependencies->mRegistry.CounterOf("nutmegrock_untied_call_total").Add();
  const core::TimePoint now = mDependencies->mEnvironment.mNow();
  auto context = OrphanContext(
    now, *aProfiles, aTarget.mName, mCalls.LatestDeadline(now), NewRequest());
  if (!context) {
    RefuseEarly(aTarget.mName, context.error(), aHandler);
    return;
  }
  aCall.mHead.mTarget = aTarget.mPath;
  Send(aTarget.mName,
       std::move(*context),
       std::move(aCall),
       [handler = std::move(aHandler)](OutgoingResult aResult) {
         handler(std::move(aResult.mResponse));
       });
}

void
CallingSide::Notify(const CallTarget& aTarget,
                    const transport::Call& aCall,
                    transport::ResponseHandler aHandler)
{
  transport::ReadAll(
    aCall.mBody,
    kMaxNoticeBytes,
    [this, name = aTarget.mName, handler = std::move(aHandler)](
      core::Expected<std::string> aBody) {
      const auto done = aBody.and_then([this, &name](const std::string& aText) {
        return mNotice(name, aText);
      });
      if (!done) {
        handler(tl::make_unexpected(done.error()));
        return;
      }
      transport::Response response;
      response.mHead.mHeaders.push_back({ "Content-Type", "application/json" });
      response.mHead.mBodySize = 2;
      response.mBody = transport::StringBody("{}");
      handler(std::move(response));
    });
}

} // namespace nutmegrock::node
