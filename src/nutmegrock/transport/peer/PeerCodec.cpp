#include "transport/peer/PeerCodec.h"

#include "transport/http/HeaderRules.h"
#include "transport/peer/PeerLimits.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <exception>
#include <limits>
#include <memory>
#include <spdlog/fmt/fmt.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <utility>

namespace nutmegrock::transport::peer {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using core::ErrorKind;

tl::unexpected<core::Error>
InvalidValue(std::string_view aWhat, std::int64_t aValue)
{
  return core::Fail(ErrorKind::ProtocolError,
                    fmt::format("{} of {} from a peer", aWhat, aValue));
}

bool
IsInRange(std::int64_t aValue, std::int64_t aMax)
{
  return aValue >= 0 && aValue <= aMax;
}

// Limits the lengths that the compact protocol accepts, so that a forged length
// cannot reserve more memory than a frame can contain.
TCompactProtocolT<TMemoryBuffer>
MakeReader(std::string_view aFrame)
{
  // The buffer is only read, never written.
  auto* bytes =
    const_cast<std::uint8_t*>( // NOLINT(cppcoreguidelines-pro-type-const-cast)
      reinterpret_cast<const std::uint8_t*>(aFrame.data()));
  auto memory = std::make_shared<TMemoryBuffer>(
    bytes, static_cast<std::uint32_t>(aFrame.size()), TMemoryBuffer::OBSERVE);
  return { memory,
           static_cast<std::int32_t>(kMaxFrameBytes),
           static_cast<std::int32_t>(kMaxHeaders) };
}

int
PayloadCount(const gen::PeerPayload& aPayload)
{
  const auto& set = aPayload.__isset;
  return int{ set.hello } + int{ set.call } + int{ set.answer } +
         int{ set.chunk } + int{ set.credit } + int{ set.cancel } +
         int{ set.control } + int{ set.control_answer };
}

std::vector<gen::WireHeader>
ToWire(const Headers& aHeaders)
{
  std::vector<gen::WireHeader> wire(aHeaders.size());
  for (std::size_t i = 0; i < aHeaders.size(); ++i) {
    wire[i].name = aHeaders[i].mName;
    wire[i].value = aHeaders[i].mValue;
  }
  return wire;
}

// The headers are copied into HTTP messages, where a line break in one of them
// would inject further headers.
core::Expected<Headers>
FromWire(std::vector<gen::WireHeader>& aWire)
{
  Headers headers(aWire.size());
  for (std::size_t i = 0; i < aWire.size(); ++i) {
    if (!http::IsToken(aWire[i].name) || !http::IsFieldValue(aWire[i].value)) {
      return core::Fail(ErrorKind::ProtocolError, "invalid header from a peer");
    }
    headers[i] = { std::move(aWire[i].name), std::move(aWire[i].value) };
  }
  return headers;
}

std::int64_t
SizeToWire(const std::optional<std::uint64_t>& aSize)
{
  return aSize ? static_cast<std::int64_t>(*aSize) : -1;
}

core::Expected<std::optional<std::uint64_t>>
SizeFromWire(std::int64_t aSize)
{
  if (aSize < -1) {
    return InvalidValue("body size", aSize);
  }
  if (aSize == -1) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(aSize);
}

gen::WireLevel
ToWire(const core::Level& aLevel)
{
  gen::WireLevel wire;
  wire.importance = static_cast<std::int8_t>(aLevel.mImportance);
  wire.cohort = static_cast<std::int8_t>(aLevel.mCohort);
  return wire;
}

core::Expected<core::Level>
FromWire(const gen::WireLevel& aWire)
{
  if (!IsInRange(aWire.importance, core::kImportances - 1)) {
    return InvalidValue("importance", aWire.importance);
  }
  if (!IsInRange(aWire.cohort, core::kCohorts - 1)) {
    return InvalidValue("cohort", aWire.cohort);
  }
  return core::Level{ static_cast<core::Importance>(aWire.importance),
                      static_cast<core::Cohort>(aWire.cohort) };
}

core::Expected<void>
CheckContext(const gen::WireContext& aWire)
{
  constexpr std::int64_t kMaxMicros =
    std::chrono::microseconds(kMaxRemainingTime).count();
  if (!IsInRange(aWire.deadline_us, kMaxMicros)) {
    return InvalidValue("deadline", aWire.deadline_us);
  }
  if (!IsInRange(aWire.max_wait_us, kMaxMicros)) {
    return InvalidValue("maximum wait", aWire.max_wait_us);
  }
  if (!IsInRange(aWire.importance, core::kImportances - 1)) {
    return InvalidValue("importance", aWire.importance);
  }
  if (!IsInRange(aWire.retry_budget, kMaxRetryBudget)) {
    return InvalidValue("retry budget", aWire.retry_budget);
  }
  if (!IsInRange(aWire.depth, core::kMaxDepth)) {
    return InvalidValue("depth", aWire.depth);
  }
  return {};
}

} // namespace

bool
PeerCodec::Append(const gen::PeerFrame& aFrame, std::string& aOut)
{
  // Kept per thread, since constructing them costs more than encoding a small
  // frame.
  thread_local const auto kMemory = std::make_shared<TMemoryBuffer>(4096);
  thread_local TCompactProtocolT<TMemoryBuffer> protocol(kMemory);
  kMemory->resetBuffer();
  aFrame.write(&protocol);
  std::uint8_t* bytes = nullptr;
  std::uint32_t size = 0;
  kMemory->getBuffer(&bytes, &size);
  if (size > kMaxFrameBytes) {
    return false;
  }
  const std::uint32_t length = boost::endian::native_to_big(size);
  aOut.append(reinterpret_cast<const char*>(&length), sizeof(length));
  aOut.append(reinterpret_cast<const char*>(bytes), size);
  return true;
}

core::Expected<gen::PeerFrame>
PeerCodec::Decode(std::string_view aFrame)
{
  try {
    auto reader = MakeReader(aFrame);
    gen::PeerFrame frame;
    if (frame.read(&reader) == aFrame.size() &&
        PayloadCount(frame.payload) == 1) {
      return frame;
    }
  } catch (const std::exception& error) {
    return core::Fail(ErrorKind::ProtocolError,
                      fmt::format("malformed frame: {}", error.what()));
  }
  return core::Fail(ErrorKind::ProtocolError,
                    "frame with trailing bytes or not exactly one payload");
}

gen::WireContext
PeerCodec::ToWire(const core::CallContext& aContext, core::TimePoint aNow)
{
  const auto micros = [](core::Duration aTime) {
    return core::ToMicros(
      std::clamp<core::Duration>(aTime, core::Duration(0), kMaxRemainingTime));
  };
  gen::WireContext wire;
  wire.request = aContext.mRequest.ToString();
  wire.deadline_us =
    aContext.mDeadline > aNow ? micros(aContext.mDeadline - aNow) : 0;
  wire.max_wait_us = micros(aContext.mMaxWait);
  wire.profile = aContext.mProfile;
  wire.importance = static_cast<std::int8_t>(aContext.mImportance);
  wire.idempotent = aContext.mIdempotent;
  wire.retry_budget = static_cast<std::int32_t>(
    std::min<std::uint32_t>(aContext.mRetryBudget, kMaxRetryBudget));
  wire.depth = static_cast<std::int32_t>(aContext.mDepth);
  wire.key = aContext.mKey;
  return wire;
}

core::Expected<core::CallContext>
PeerCodec::FromWire(const gen::WireContext& aWire, core::TimePoint aNow)
{
  if (auto checked = CheckContext(aWire); !checked) {
    return tl::make_unexpected(std::move(checked.error()));
  }
  auto request = core::RequestId::Parse(aWire.request);
  if (!request) {
    return core::Fail(ErrorKind::ProtocolError, request.error().mMessage);
  }
  return core::CallContext{ std::move(*request),
                            aNow + std::chrono::microseconds(aWire.deadline_us),
                            std::chrono::microseconds(aWire.max_wait_us),
                            aWire.profile,
                            static_cast<core::Importance>(aWire.importance),
                            aWire.idempotent,
                            static_cast<std::uint32_t>(aWire.retry_budget),
                            static_cast<std::uint32_t>(aWire.depth),
                            aWire.key };
}

gen::CallStart
PeerCodec::ToWire(const PeerCall& aCall, core::TimePoint aNow)
{
  gen::CallStart wire;
  wire.target = static_cast<std::int64_t>(aCall.mTarget.mBits);
  wire.service_name = aCall.mService;
  wire.context = ToWire(aCall.mContext, aNow);
  wire.method = aCall.mCall.mHead.mMethod;
  wire.path = aCall.mCall.mHead.mTarget;
  wire.headers = peer::ToWire(aCall.mCall.mHead.mHeaders);
  wire.body_size = SizeToWire(aCall.mCall.mHead.mBodySize);
  return wire;
}

core::Expected<PeerCall>
PeerCodec::FromWire(gen::CallStart& aWire, core::TimePoint aNow)
{
  if (!http::IsToken(aWire.method) || !http::IsTarget(aWire.path)) {
    return core::Fail(ErrorKind::ProtocolError,
                      "invalid method or path from a peer");
  }
  auto context = FromWire(aWire.context, aNow);
  if (!context) {
    return tl::make_unexpected(std::move(context.error()));
  }
  auto headers = peer::FromWire(aWire.headers);
  if (!headers) {
    return tl::make_unexpected(std::move(headers.error()));
  }
  const auto size = SizeFromWire(aWire.body_size);
  if (!size) {
    return tl::make_unexpected(size.error());
  }
  Call call;
  call.mHead = {
    std::move(aWire.method), std::move(aWire.path), std::move(*headers), *size
  };
  return PeerCall{ { static_cast<std::uint64_t>(aWire.target) },
                   std::move(aWire.service_name),
                   std::move(*context),
                   std::move(call) };
}

gen::AnswerStart
PeerCodec::ToWire(const ResponseHead& aHead)
{
  gen::AnswerStart wire;
  wire.status = static_cast<std::int32_t>(aHead.mStatus);
  wire.headers = peer::ToWire(aHead.mHeaders);
  wire.body_size = SizeToWire(aHead.mBodySize);
  return wire;
}

core::Expected<ResponseHead>
PeerCodec::FromWire(gen::AnswerStart& aWire)
{
  if (aWire.status < 200 || aWire.status > 599) {
    return InvalidValue("status", aWire.status);
  }
  auto headers = peer::FromWire(aWire.headers);
  if (!headers) {
    return tl::make_unexpected(std::move(headers.error()));
  }
  const auto size = SizeFromWire(aWire.body_size);
  if (!size) {
    return tl::make_unexpected(size.error());
  }
  return ResponseHead{ static_cast<unsigned>(aWire.status),
                       std::move(*headers),
                       *size };
}

gen::WireFeedback
PeerCodec::ToWire(const core::CallFeedback& aFeedback)
{
  constexpr std::uint32_t kMax = std::numeric_limits<std::int32_t>::max();
  gen::WireFeedback wire;
  wire.level = peer::ToWire(aFeedback.mLevel);
  wire.level_below = peer::ToWire(aFeedback.mDownstreamLevel);
  wire.load_permille =
    static_cast<std::int32_t>(std::min(aFeedback.mLoadPermille, kMax));
  wire.budget_returned = static_cast<std::int32_t>(
    std::min<std::uint32_t>(aFeedback.mBudgetReturned, kMaxRetryBudget));
  return wire;
}

core::Expected<core::CallFeedback>
PeerCodec::FromWire(const gen::WireFeedback& aWire)
{
  const auto level = peer::FromWire(aWire.level);
  const auto below = peer::FromWire(aWire.level_below);
  if (!level || !below) {
    return tl::make_unexpected(level ? below.error() : level.error());
  }
  if (aWire.load_permille < 0) {
    return InvalidValue("load", aWire.load_permille);
  }
  if (!IsInRange(aWire.budget_returned, kMaxRetryBudget)) {
    return InvalidValue("returned budget", aWire.budget_returned);
  }
  return core::CallFeedback{ *level,
                             *below,
                             static_cast<std::uint32_t>(aWire.load_permille),
                             static_cast<std::uint32_t>(
                               aWire.budget_returned) };
}

gen::WireError
PeerCodec::ToWire(const core::Error& aError)
{
  // In bytes; leaves room for the rest of the frame.
  constexpr std::size_t kMaxMessageBytes = 4096;
  gen::WireError wire;
  wire.kind = static_cast<std::int8_t>(aError.mKind);
  wire.message = aError.mMessage.substr(0, kMaxMessageBytes);
  wire.run = static_cast<std::int8_t>(aError.mRun);
  wire.retry_after_ms = static_cast<std::int32_t>(std::clamp<std::int64_t>(
    aError.mRetryAfter.count(), 0, std::numeric_limits<std::int32_t>::max()));
  return wire;
}

core::Error
PeerCodec::FromWire(const gen::WireError& aWire)
{
  constexpr auto kLastRun = static_cast<int>(core::RunCertainty::Unknown);
  const auto kinds = static_cast<std::int64_t>(core::ErrorTable().size());
  if (!IsInRange(aWire.kind, kinds - 1) || !IsInRange(aWire.run, kLastRun) ||
      aWire.retry_after_ms < 0) {
    return InvalidValue("error kind", aWire.kind).value();
  }
  core::Error error;
  error.mKind = static_cast<ErrorKind>(aWire.kind);
  error.mMessage = aWire.message;
  error.mRun = static_cast<core::RunCertainty>(aWire.run);
  error.mRetryAfter = std::chrono::milliseconds(aWire.retry_after_ms);
  return error;
}

} // namespace nutmegrock::transport::peer
