#pragma once

#include "tests/transport/Bodies.h"
#include "tests/transport/Loop.h"
#include "transport/http/CallListener.h"
#include "transport/http/HttpBackendClient.h"

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <utility>

namespace nutmegrock::tests {

inline std::unique_ptr<transport::http::CallListener>
Listen(Loop& aLoop,
       transport::CallHandler aHandler,
       transport::http::CallListenerSettings aSettings = {})
{
  aSettings.mAddress = { "127.0.0.1", 0 };
  auto listener = transport::http::CallListener::Create(
    aLoop.Io(), aSettings, std::move(aHandler));
  REQUIRE(listener.has_value());
  return std::move(*listener);
}

inline std::unique_ptr<transport::http::HttpBackendClient>
Connect(Loop& aLoop, const core::Address& aAddress, std::size_t aMax = 16)
{
  transport::http::HttpBackendClientSettings settings;
  settings.mAddress = aAddress;
  settings.mMaxConnections = aMax;
  auto client =
    transport::http::HttpBackendClient::Create(aLoop.Io(), settings);
  REQUIRE(client.has_value());
  return std::move(*client);
}

inline transport::Call
MakeCall(std::string aMethod,
         std::string aTarget,
         transport::BodyReaderPtr aBody = {})
{
  transport::Call call;
  call.mHead.mMethod = std::move(aMethod);
  call.mHead.mTarget = std::move(aTarget);
  call.mBody = std::move(aBody);
  call.mCancellation = std::make_shared<transport::Cancellation>();
  return call;
}

inline transport::Response
MakeResponse(std::string aBody)
{
  transport::Response response;
  response.mBody = transport::StringBody(std::move(aBody));
  return response;
}

using AwaitedResponse =
  std::shared_ptr<Awaited<core::Expected<transport::Response>>>;

inline AwaitedResponse
SendCall(transport::BackendClient& aClient,
         transport::Call aCall,
         core::TimePoint aDeadline = FarDeadline())
{
  auto response =
    std::make_shared<Awaited<core::Expected<transport::Response>>>();
  aClient.Send(std::move(aCall), aDeadline, [response](auto aResponse) {
    response->Set(std::move(aResponse));
  });
  return response;
}

inline core::Expected<transport::Response>
ResponseOf(const AwaitedResponse& aResponse)
{
  return aResponse->Get().value_or(
    core::Fail(core::ErrorKind::Internal, "no response received"));
}

} // namespace nutmegrock::tests
