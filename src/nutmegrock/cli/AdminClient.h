#pragma once

#include "core/Address.h"
#include "core/Error.h"
#include "store/http/StoreClient.h"

#include <cpprest/json.h>
#include <map>
#include <string>

namespace nutmegrock::cli {

/// Client of the administration API of a node.
class AdminClient
{
public:
  /// A response of the API.
  struct Response
  {
    unsigned mStatus = 0;
    web::json::value mBody;

    bool IsSuccess() const { return mStatus >= 200 && mStatus < 300; }
    /// The value of a string field, or the empty string.
    std::string StringField(const std::string& aField) const;
  };

  /// Fails with InvalidSettings.
  static core::Expected<AdminClient> Make(const core::Address& aAdmin);

  /// Sends a request; aPath is relative to the version path of the API. Fails
  /// with BackendUnreachable if no complete JSON response arrives in time. A
  /// request other than GET is sent at most once.
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
