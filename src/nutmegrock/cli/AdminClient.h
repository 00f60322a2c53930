#pragma once

#include "core/Address.h"
#include "core/Error.h"
#include "store/http/StoreClient.h"

#include <cpprest/json.h>
#include <map>
#include <string>

namespace nutmegrock::cli {

/// Client of a node's administration API.
class AdminClient
{
public:
  /// An answer of the API.
  struct Response
  {
    unsigned mStatus = 0;
    web::json::value mBody;

    bool IsSuccess() const { return mStatus >= 200 && mStatus < 300; }
    /// The text of a field, or the empty string.
    std::string Text(const std::string& aField) const;
  };

  /// Fails with InvalidSettings.
  static core::Expected<AdminClient> Make(const core::Address& aAdmin);

  /// Sends one request; aPath is below the version path of the API. Fails with
  /// BackendUnreachable when no whole answer in JSON came in time. A request
  /// other than GET is sent at most once.
  core::Expected<Response> Send(
    const std::string& aMethod,
    const std::string& aPath,
    const std::string& aBody = {},
    const std::map<std::string, std::string>& aHeaders = {}) const;

private:
  explicit AdminClient(store::http::StoreClient aClient);

  store::http::StoreClient mClient;
};

} // namespace nutmegrock::cli
