#pragma once

#include "tests/transport/Bodies.h"
#include "tests/transport/Loop.h"
#include "transport/peer/PeerClient.h"
#include "transport/peer/PeerServer.h"

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <utility>

namespace nutmegrock::tests {

constexpr core::Incarnation kServerIncarnation{ 77 };
constexpr core::Incarnation kClientIncarnation{ 66 };

inline transport::peer::ControlHandler
EchoControl()
{
  return [](core::Incarnation aFrom,
            const std::string& aMethod,
            const std::string& aArgument,
            const auto& aResponse) {
    aResponse(aFrom.ToString() + " " + aMethod + " " + aArgument);
  };
}

inline std::unique_ptr<transport::peer::PeerServer>
StartPeerServer(Loop& aLoop,
                transport::PeerCallHandler aHandler,
                transport::peer::PeerServerSettings aSettings = {})
{
  if (aSettings.mAddress.mIp.empty()) {
    aSettings.mAddress = { "127.0.0.1", 0 };
  }
  aSettings.mIncarnation = kServerIncarnation;
  auto server = transport::peer::PeerServer::Create(
    aLoop.Io(), std::move(aSettings), std::move(aHandler), EchoControl());
  REQUIRE(server.has_value());
  return std::move(*server);
}

inline std::unique_ptr<transport::peer::PeerClient>
MakePeerClient(Loop& aLoop, transport::peer::PeerClientSettings aSettings = {})
{
  aSettings.mIncarnation = kClientIncarnation;
  return transport::peer::PeerClient::Create(aLoop.Io(), std::move(aSettings));
}

inline transport::PeerCall
MakePeerCall(transport::BodyReaderPtr aBody = {},
             core::TimePoint aDeadline = FarDeadline())
{
  core::CallContext context{ core::RequestId::FromBits(1, 2),
                             aDeadline,
                             core::Duration(0),
                             "deposit",
                             core::Importance::High,
                             false,
                             3,
                             1,
                             "key" };
  transport::PeerCall call{
    kServerIncarnation, "till", std::move(context), {}
  };
  call.mCall.mHead.mMethod = "POST";
  call.mCall.mHead.mTarget = "/deposits";
  call.mCall.mBody = std::move(aBody);
  call.mCall.mCancellation = std::make_shared<transport::Cancellation>();
  return call;
}

using AwaitedResult = std::shared_ptr<Awaited<transport::PeerResult>>;

inline AwaitedResult
SendPeerCall(transport::peer::PeerClient& aClient,
             const core::Address& aAddress,
             transport::PeerCall aCall)
{
  auto result = std::make_shared<Awaited<transport::PeerResult>>();
  aClient.Send(
    aAddress, std::move(aCall), [result](transport::PeerResult aResult) {
      result->Set(std::move(aResult));
    });
  return result;
}

inline transport::PeerResult
ResultOf(const AwaitedResult& aResult)
{
  return aResult->Get().value_or(transport::PeerResult{
    core::Fail(core::ErrorKind::Internal, "no result received"), {} });
}

inline core::Expected<std::string>
ControlAndWait(transport::peer::PeerClient& aClient,
               const core::Address& aAddress,
               core::Incarnation aTarget,
               std::string aArgument)
{
  auto result = std::make_shared<Awaited<core::Expected<std::string>>>();
  aClient.Control(aAddress,
                  aTarget,
                  "pull",
                  std::move(aArgument),
                  FarDeadline(),
                  [result](auto aResult) { result->Set(std::move(aResult)); });
  return result->Get().value_or(
    core::Fail(core::ErrorKind::Internal, "no result received"));
}

} // namespace nutmegrock::tests
