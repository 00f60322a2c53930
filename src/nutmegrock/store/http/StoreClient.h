#pragma once

#include "core/Error.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace web::http::client {
class http_client;
}

namespace nutmegrock::store::http {

/// How the platform is reached.
struct StoreSettings
{
  /// "http://IP:PORT".
  std::string mUrl;
  /// Longest time for one request with its whole answer.
  std::chrono::milliseconds mTimeout{ 2000 };
  /// Longest answer accepted, in bytes.
  std::size_t mMaxResponse = std::size_t{ 8 } * 1024 * 1024;
};

/// Sends one request at a time to the platform and waits for its answer. Safe
/// for use by several threads.
class StoreClient
{
public:
  /// A whole answer.
  struct Response
  {
    unsigned mStatus = 0;
    std::string mETag;
    std::string mBody;
  };

  /// A request; the path is percent-encoded.
  struct Request
  {
    std::string mMethod;
    std::string mPath;
    std::map<std::string, std::string> mHeaders;
    std::string mBody;
    std::string mContentType = "application/octet-stream";
  };

  /// Fails with InvalidSettings when the URL is not "http://IP:PORT".
  static core::Expected<StoreClient> Make(const StoreSettings& aSettings);

  /// The answer, or StoreUnavailable when it did not arrive whole in time. A
  /// request other than GET is sent at most once.
  core::Expected<Response> Send(const Request& aRequest) const;

private:
  StoreSettings mSettings;
  std::shared_ptr<web::http::client::http_client> mReader;
};

/// The text percent-encoded as one path segment or query value.
std::string
EncodeSegment(const std::string& aText);

/// Gives cpprestsdk's thread pool its number of threads, which must happen
/// before its first use; later calls have no effect. Its default of 40 threads
/// is several times slower than a few.
void
InitializeThreadPool(std::size_t aThreads = 4);

} // namespace nutmegrock::store::http
