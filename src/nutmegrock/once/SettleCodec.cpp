#include "once/SettleCodec.h"

#include "once_types.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace nutmegrock::once {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

} // namespace

std::string
EncodeSettle(const SettleResponse& aResponse)
{
  gen::SettleReply reply;
  reply.state = static_cast<std::int8_t>(aResponse.mState);
  if (aResponse.mOutcome != nullptr) {
    reply.status = static_cast<std::int32_t>(aResponse.mOutcome->mStatus);
    reply.body = aResponse.mOutcome->mBody;
    reply.body_kept = aResponse.mOutcome->mBodyKept;
    for (const auto& [name, value] : aResponse.mOutcome->mHeaders) {
      gen::OutcomeHeader header;
      header.name = name;
      header.value = value;
      reply.headers.push_back(std::move(header));
    }
  }
  const auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocol protocol(buffer);
  reply.write(&protocol);
  return buffer->getBufferAsString();
}

core::Expected<SettleResponse>
DecodeSettle(const std::string& aBytes)
{
  gen::SettleReply reply;
  try {
    std::string copy = aBytes;
    const auto buffer = std::make_shared<TMemoryBuffer>(
      reinterpret_cast<std::uint8_t*>(copy.data()),
      static_cast<std::uint32_t>(copy.size()));
    // Each character and each item takes at least one byte of the message.
    const auto limit = static_cast<std::int32_t>(copy.size());
    TCompactProtocol protocol(buffer, limit, limit);
    reply.read(&protocol);
  } catch (const std::exception& error) {
    return core::Fail(core::ErrorKind::ProtocolError, error.what());
  }
  if (reply.state < 0 ||
      reply.state > static_cast<std::int8_t>(SettleState::Unknown)) {
    return core::Fail(core::ErrorKind::ProtocolError,
                      "settle response has an unknown state");
  }
  SettleResponse response;
  response.mState = static_cast<SettleState>(reply.state);
  if (response.mState == SettleState::Done) {
    Outcome outcome;
    outcome.mStatus = static_cast<unsigned>(reply.status);
    outcome.mBody = std::move(reply.body);
    outcome.mBodyKept = reply.body_kept;
    for (gen::OutcomeHeader& header : reply.headers) {
      outcome.mHeaders.emplace_back(std::move(header.name),
                                    std::move(header.value));
    }
    response.mOutcome = std::make_shared<const Outcome>(std::move(outcome));
  }
  return response;
}

} // namespace nutmegrock::once
