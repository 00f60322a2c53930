#include "tests/adapter/standin/Documents.h"

#include <algorithm>
#include <functional>
#include <set>
#include <spdlog/fmt/fmt.h>

namespace nutmegrock::tests::standin {

namespace {

constexpr const char* kHost = "shop.example";

std::string
Target(const RouteSettings& aRoute)
{
  if (aRoute.mServices.size() == 1) {
    return R"("service":")" + aRoute.mServices.front() + "\"";
  }
  std::string text;
  for (const std::string& service : aRoute.mServices) {
    text += (text.empty() ? "" : ",") +
            fmt::format(R"({{"service":"{}","weight":1}})", service);
  }
  return "\"split\":[" + text + "]";
}

} // namespace

std::string
DocumentText(int aVersion, const std::vector<RouteSettings>& aRoutes)
{
  std::set<std::string> names;
  std::string paths;
  for (const RouteSettings& route : aRoutes) {
    names.insert(route.mServices.begin(), route.mServices.end());
    std::string name = "r" + route.mPath;
    std::replace(name.begin(), name.end(), '/', '-');
    paths += (paths.empty() ? "" : ",") +
             fmt::format(R"({{"name":"{}","pathPrefix":"{}","kind":"{}",)"
                         R"("timeoutMs":{},"targetLatencyMs":800,)"
                         R"("priority":1,"maxAttempts":2,{}}})",
                         name,
                         route.mPath,
                         route.mKind,
                         static_cast<int>(kRouteTimeout * 1000),
                         Target(route));
  }
  std::string services;
  for (const std::string& service : names) {
    services += (services.empty() ? "" : ",") +
                fmt::format(R"({{"name":"{}","healthPath":"/health",)"
                            R"("maxConnections":600,"protocol":"h1",)"
                            R"("tls":false}})",
                            service);
  }
  return fmt::format(R"({{"version":"r{}","services":[{}],)"
                     R"("limits":{{"maxHeaderBytes":16384,)"
                     R"("maxBodyBytes":67108864,"headerTimeoutMs":3000,)"
                     R"("idleTimeoutMs":15000}},)"
                     R"("hosts":[{{"host":"{}","paths":[{}]}}]}})",
                     aVersion,
                     services,
                     kHost,
                     paths);
}

std::string
RequestText(const RequestSettings& aSettings)
{
  const std::string head =
    fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nNutmegrock-Request-Id: {}\r\n"
                "Nutmegrock-Deadline-Ms: {}\r\n",
                aSettings.mMethod,
                aSettings.mPath,
                kHost,
                aSettings.mId,
                aSettings.mDeadlineMs);
  if (aSettings.mMethod == "GET") {
    return head + "\r\n";
  }
  if (!aSettings.mInChunks) {
    return fmt::format("{}Content-Length: {}\r\n\r\n{}",
                       head,
                       aSettings.mBody.size(),
                       aSettings.mBody);
  }
  constexpr std::size_t kChunkBytes = 16000;
  std::string text = head + "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t at = 0; at < aSettings.mBody.size(); at += kChunkBytes) {
    const std::string chunk = aSettings.mBody.substr(at, kChunkBytes);
    text += fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk);
  }
  return text + "0\r\n\r\n";
}

std::string
BodyText(const std::string& aId, const std::string& aService)
{
  constexpr std::size_t kLargest = 8000;
  const std::string text = aId + " " + aService + " ";
  return text + std::string(std::hash<std::string>()(aId) % kLargest, 'x');
}

std::string
ServiceOf(const Message& aResponse, const std::string& aId)
{
  const std::string& body = aResponse.mBody;
  const std::size_t from = body.find(' ');
  if (from == std::string::npos ||
      aResponse.Header("nutmegrock-server-seal") != "seal." + aId) {
    return "";
  }
  const std::string service =
    body.substr(from + 1, body.find(' ', from + 1) - from - 1);
  return body == BodyText(aId, service) ? service : "";
}

} // namespace nutmegrock::tests::standin
