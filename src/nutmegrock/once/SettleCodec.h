#pragma once

#include "core/Error.h"
#include "once/ExecutionLedger.h"

#include <string>
#include <string_view>

namespace nutmegrock::once {

/// Control request between nodes that settles a key. The argument is the text
/// form of a Dispatch.
constexpr std::string_view kSettleMethod = "once.settle";

/// The response as a Thrift compact struct.
std::string
EncodeSettle(const SettleResponse& aResponse);
/// Parses the output of EncodeSettle(). Fails with ProtocolError.
core::Expected<SettleResponse>
DecodeSettle(const std::string& aBytes);

} // namespace nutmegrock::once
