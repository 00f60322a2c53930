#pragma once

#include "tests/adapter/standin/Http.h"

#include <map>
#include <string>
#include <vector>

namespace nutmegrock::tests::standin {

struct RouteSettings
{
  std::string mPath;
  /// safe, unsafe or upload
  std::string mKind;
  /// With more than one, the requests are split between them.
  std::vector<std::string> mServices;
};

/// Time limit of every route, in seconds.
constexpr double kRouteTimeout = 2;

/// The operator's document with routes of the host of all requests.
std::string
DocumentText(int aVersion, const std::vector<RouteSettings>& aRoutes);

struct RequestSettings
{
  std::string mMethod = "GET";
  std::string mPath;
  std::string mId;
  std::string mBody;
  bool mInChunks = false;
  int mDeadlineMs = 3000;
};

std::string
RequestText(const RequestSettings& aSettings);

/// The body with which a backend server answers a request.
std::string
BodyText(const std::string& aId, const std::string& aService);

/// The service that has answered, or an empty text if the response is not a
/// backend server's whole answer to this request.
std::string
ServiceOf(const Message& aResponse, const std::string& aId);

} // namespace nutmegrock::tests::standin
