#pragma once

#include "core/Address.h"
#include "core/Time.h"
#include "experiment/PooledClient.h"

#include <string>

namespace nutmegrock::experiment {

/// Blocking HTTP exchange for control requests. aOperation, if not empty, is
/// sent as X-Operation.
HttpResult
Exchange(const core::Address& aAddress,
         boost::beast::http::verb aMethod,
         const std::string& aTarget,
         const std::string& aBody,
         core::Duration aTimeout,
         const std::string& aOperation = "");

/// Sends GET. Returns the body of a 2xx response, or an empty string.
std::string
Get(const core::Address& aAddress, const std::string& aTarget);

/// Sends POST. Returns true if the response is 2xx.
bool
Post(const core::Address& aAddress,
     const std::string& aTarget,
     const std::string& aBody);

} // namespace nutmegrock::experiment
