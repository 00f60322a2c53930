#pragma once

#include "transport/Call.h"

namespace nutmegrock::transport::http {

/// Makes the response that reports an error to a caller: the status in the
/// error's table row, headers Nutmegrock-Error, Nutmegrock-Run and
/// Nutmegrock-Retry (`no` or `after-ms=N`), and a JSON body with the members
/// "error" and "message".
Response
ErrorResponse(const core::Error& aError);

} // namespace nutmegrock::transport::http
