#pragma once

#include "core/Error.h"
#include "once/ExecutionLedger.h"

#include <string>
#include <string_view>

namespace nutmegrock::once {

/// Control request between nodes that settles a key. Its argument is the text
/// of a Dispatch.
constexpr std::string_view kSettleMethod = "once.settle";

/// The answer as a Thrift compact struct.
std::string
EncodeSettle(const SettleResponse& aResponse);
/// Reads what EncodeSettle() writes. Fails with ProtocolError.
core::Expected<SettleResponse>
DecodeSettle(const std::string& aBytes);

} // namespace nutmegrock::once
