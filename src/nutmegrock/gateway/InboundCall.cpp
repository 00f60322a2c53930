#include "gateway/InboundCall.h"

#include "gateway/PeerCall.h"
#include "proxy/HeaderNames.h"
#include "proxy/MessageText.h"

#include <utility>

namespace nutmegrock::gateway {

std::shared_ptr<proxy::RequestSink>
InboundCall::Handle(Serving& aServing,
                    const proxy::ServerExchangePtr& aExchange)
{
  const auto call = std::make_shared<InboundCall>(aServing, aExchange);
  call->Start();
  return call;
}

InboundCall::InboundCall(Serving& aServing, proxy::ServerExchangePtr aExchange)
  : mServing(aServing)
  , mExchange(std::move(aExchange))
{
}

void
InboundCall::Start()
{
  const proxy::RequestHead& head = mExchange->Head();
  const auto call = DecodePeerCall(head.mPeerCall);
  if (!call) {
    OnResponseFailed(call.error());
    return;
  }
  mRoute = call->mRoute;
  mCostRequested = call->mCostRequested;
  auto outgoing = mServing.Start(*call, head, weak_from_this());
  if (!mEnded) {
    mCall = std::move(outgoing);
  }
}

void
InboundCall::OnRequestBody(std::string_view aBytes)
{
  if (mCall) {
    mExchange->PassBody(*mCall, aBytes);
  }
}

void
InboundCall::OnRequestEnd()
{
  if (mCall) {
    mCall->EndBody();
  }
}

void
InboundCall::OnDisconnect()
{
  mEnded = true;
  if (const auto call = std::exchange(mCall, nullptr)) {
    call->Cancel();
  }
}

void
InboundCall::OnResponseSent()
{
  if (mCall && !mEnded && mExchange->Unsent() <= proxy::kMaxUnsent) {
    mCall->PauseResponse(false);
  }
}

void
InboundCall::OnResponseHead(const proxy::ResponseHead& aHead)
{
  const auto lines = proxy::HeaderLine(mExchange->RequestIdName(),
                                       mExchange->Head().mRequestId) +
                     proxy::HeaderLine(proxy::kPeerNoteHeader, aHead.mPeerNote);
  mExchange->SendHead(aHead, lines);
}

void
InboundCall::OnResponseBody(std::string_view aBytes)
{
  mExchange->SendBody(aBytes);
  if (mCall && mExchange->Unsent() > proxy::kMaxUnsent) {
    mCall->PauseResponse(true);
  }
}

void
InboundCall::OnResponseEnd()
{
  mEnded = true;
  mExchange->End();
}

void
InboundCall::OnResponseFailed(const core::Error& aError)
{
  mEnded = true;
  if (mExchange->HasResponse()) {
    mExchange->Abort();
    return;
  }
  constexpr unsigned kNotRunStatus = 503;
  constexpr unsigned kUnknownStatus = 502;
  PeerNote note = mServing.NoteFor(mRoute, mCostRequested);
  note.mError = aError;
  std::string lines = proxy::HeaderLine(proxy::kPeerNoteHeader, Encode(note));
  if (!mExchange->Head().mRequestId.empty()) {
    lines += proxy::HeaderLine(mExchange->RequestIdName(),
                               mExchange->Head().mRequestId);
  }
  mExchange->SendResponse(
    aError.mRun == core::RunCertainty::NotRun ? kNotRunStatus : kUnknownStatus,
    lines,
    {});
}

void
InboundCall::OnRequestSent()
{
  if (mCall && mCall->Unsent() <= proxy::kMaxUnsent) {
    mExchange->PauseBody(false);
  }
}

} // namespace nutmegrock::gateway
