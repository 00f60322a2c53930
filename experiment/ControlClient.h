#pragma once

#include "core/Address.h"
#include "core/Time.h"
#include "experiment/PooledClient.h"

#include <string>

namespace nutmegrock::experiment {

/// One HTTP exchange that blocks the calling thread, for control requests.
HttpResult
Exchange(const core::Address& aAddress,
         boost::beast::http::verb aMethod,
         const std::string& aTarget,
         const std::string& aBody,
         core::Duration aTimeout,
         const std::string& aOperation = "");

/// The same with the body of a 2xx answer; empty text otherwise.
std::string
Get(const core::Address& aAddress, const std::string& aTarget);

/// POST; whether the answer was 2xx.
bool
Post(const core::Address& aAddress,
     const std::string& aTarget,
     const std::string& aBody);

} // namespace nutmegrock::experiment
