#pragma once

#include "core/Error.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace web::http::client {
class http_client;
}

namespace nutmegrock::store::http {

/// Connection settings of the platform.
struct StoreSettings
{
  /// "http://IP:PORT".
  std::string mUrl;
  /// Timeout of one request, including the whole response.
  std::chrono::milliseconds mTimeout{ 2000 };
  /// Maximum response size, in bytes.
  std::size_t mMaxResponse = std::size_t{ 8 } * 1024 * 1024;
};

/// Sends one request at a time to the platform and waits for its response.
/// Thread-safe.
class StoreClient
{
public:
  /// A complete response.
  struct Response
  {
    unsigned mStatus = 0;
    std::string mETag;
    std::string mBody;
  };

  /// A request with a percent-encoded path.
  struct Request
  {
    std::string mMethod;
    std::string mPath;
    std::map<std::string, std::string> mHeaders;
    std::string mBody;
    std::string mContentType = "application/octet-stream";
    /// Replaces the timeout of the settings, which it must not exceed.
    std::optional<std::chrono::milliseconds> mTimeout = std::nullopt;
    /// Opens a connection for this request alone.
    bool mNewConnection = false;
  };

  /// Fails with InvalidSettings when the URL is not "http://IP:PORT".
  static core::Expected<StoreClient> Make(const StoreSettings& aSettings);

  /// Returns the response, or StoreUnavailable when it did not arrive
  /// completely in time; the connection is then closed. Requests other than GET
  /// are sent at most once.
  core::Expected<Response> Send(const Request& aRequest) const;

private:
  StoreSettings mSettings;
  std::shared_ptr<web::http::client::http_client> mReadClient;
};

/// Percent-encodes the text as one path segment or query value.
std::string
EncodeSegment(const std::string& aText);

/// Sets the number of threads of cpprestsdk's thread pool. Must be called
/// before the pool's first use; later calls have no effect. The default of 40
/// threads is several times slower than a few.
void
InitializeThreadPool(std::size_t aThreads = 4);

} // namespace nutmegrock::store::http
