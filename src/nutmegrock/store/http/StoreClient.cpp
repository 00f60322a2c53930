#include "store/http/StoreClient.h"

#include "core/Address.h"
#include "transport/http/HeaderRules.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <cpprest/http_client.h>
#include <future>
#include <mutex>
#include <pplx/threadpool.h>
#include <spdlog/fmt/fmt.h>
#include <stdexcept>

namespace nutmegrock::store::http {

namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::client::http_client;
using web::http::client::http_client_config;
using Response = StoreClient::Response;

http_client_config
ConfigOf(const StoreSettings& aSettings)
{
  http_client_config config;
  // This is an inactivity timeout. Send() enforces its own timeout for the
  // whole response; this one ends a request that Send() has abandoned.
  config.set_timeout(aSettings.mTimeout);
  config.set_max_redirects(0);
  return config;
}

std::string
ETagOf(const http_response& aResponse)
{
  const auto found = aResponse.headers().find("ETag");
  return found == aResponse.headers().end() ? "" : found->second;
}

/// Throws if the head is not that of a valid response, or does not tell the end
/// of its body clearly. The HTTP library accepts any status, header names with
/// other characters, codings that it does not know, and a length that is no
/// number.
void
CheckHead(const http_response& aResponse)
{
  constexpr web::http::status_code kMinStatus = 200;
  constexpr web::http::status_code kMaxStatus = 599;
  if (aResponse.status_code() < kMinStatus ||
      aResponse.status_code() > kMaxStatus) {
    throw std::runtime_error(
      fmt::format("the status {} is not valid", aResponse.status_code()));
  }
  const auto& headers = aResponse.headers();
  for (const auto& [name, value] : headers) {
    if (!transport::http::IsToken(name)) {
      throw std::runtime_error("a header name of the response is not valid");
    }
  }
  const auto coding = headers.find("Transfer-Encoding");
  const auto length = headers.find("Content-Length");
  const bool has_length = length != headers.end();
  if (coding != headers.end() &&
      (has_length || !boost::algorithm::iequals(coding->second, "chunked"))) {
    throw std::runtime_error("the response has an ambiguous transfer coding");
  }
  const auto is_digit = [](char aDigit) {
    return aDigit >= '0' && aDigit <= '9';
  };
  if (has_length &&
      (length->second.empty() ||
       !std::all_of(length->second.begin(), length->second.end(), is_digit))) {
    throw std::runtime_error("the length of the response is not valid");
  }
}

/// Reads the whole body; an incomplete body fails the task.
pplx::task<Response>
ReadResponse(const http_response& aResponse, std::size_t aMaxBytes)
{
  CheckHead(aResponse);
  if (aResponse.headers().content_length() > aMaxBytes) {
    throw std::runtime_error(
      fmt::format("the response is longer than {} bytes", aMaxBytes));
  }
  return aResponse.extract_vector().then(
    [aResponse](const std::vector<unsigned char>& aBytes) {
      return Response{ aResponse.status_code(),
                       ETagOf(aResponse),
                       std::string(aBytes.begin(), aBytes.end()) };
    });
}

http_request
ToHttpRequest(const StoreClient::Request& aRequest)
{
  http_request message(aRequest.mMethod);
  message.set_request_uri(web::uri(aRequest.mPath));
  for (const auto& [name, value] : aRequest.mHeaders) {
    message.headers().add(name, value);
  }
  if (aRequest.mMethod == "PUT" || aRequest.mMethod == "POST") {
    message.set_body(aRequest.mBody, aRequest.mContentType);
  }
  return message;
}

} // namespace

core::Expected<StoreClient>
StoreClient::Make(const StoreSettings& aSettings)
{
  InitializeThreadPool();
  try {
    // Checked here because web::uri accepts a port that is not a number.
    constexpr std::string_view kScheme = "http://";
    std::string_view host = aSettings.mUrl;
    if (!host.starts_with(kScheme)) {
      throw std::invalid_argument("must start with http://");
    }
    host.remove_prefix(kScheme.size());
    if (host.ends_with('/')) {
      host.remove_suffix(1);
    }
    if (const auto address = core::Address::Parse(host); !address) {
      throw std::invalid_argument(address.error().mMessage);
    }
    const web::uri uri(aSettings.mUrl);
    StoreClient client;
    client.mSettings = aSettings;
    client.mReadClient =
      std::make_shared<http_client>(uri, ConfigOf(aSettings));
    return client;
  } catch (const std::exception& exception) {
    return core::Fail(
      core::ErrorKind::InvalidSettings,
      fmt::format("platform URL \"{}\": {}", aSettings.mUrl, exception.what()));
  }
}

core::Expected<StoreClient::Response>
StoreClient::Send(const Request& aRequest) const
{
  const auto failed = [&aRequest](std::string_view aReason) {
    return core::Fail(
      core::ErrorKind::StoreUnavailable,
      fmt::format("{} {}: {}", aRequest.mMethod, aRequest.mPath, aReason));
  };
  const auto promise =
    std::make_shared<std::promise<core::Expected<Response>>>();
  auto future = promise->get_future();
  pplx::cancellation_token_source cancellation;
  try {
    // cpprestsdk resends a request when a reused connection turns out to be
    // closed. The first copy may have taken effect, in which case the second
    // copy of a conditional write would return a false conflict. A new client
    // has no connection to reuse, so a write is sent once.
    const auto client = aRequest.mMethod == "GET" && !aRequest.mNewConnection
                          ? mReadClient
                          : std::make_shared<http_client>(
                              mReadClient->base_uri(), ConfigOf(mSettings));
    client->request(ToHttpRequest(aRequest), cancellation.get_token())
      .then([limit = mSettings.mMaxResponse](const http_response& aResponse) {
        return ReadResponse(aResponse, limit);
      })
      .then([promise, client](const pplx::task<Response>& aTask) {
        try {
          promise->set_value(aTask.get());
        } catch (const std::exception& exception) {
          promise->set_value(
            core::Fail(core::ErrorKind::StoreUnavailable, exception.what()));
        }
      });
    const auto timeout = aRequest.mTimeout.value_or(mSettings.mTimeout);
    if (future.wait_for(timeout) != std::future_status::ready) {
      cancellation.cancel();
      return failed(fmt::format("no response within {} ms", timeout.count()));
    }
    auto response = future.get();
    return response ? std::move(response) : failed(response.error().mMessage);
  } catch (const std::exception& exception) {
    return failed(exception.what());
  }
}

std::string
EncodeSegment(const std::string& aText)
{
  return web::uri::encode_data_string(aText);
}

void
InitializeThreadPool(std::size_t aThreads)
{
  static std::once_flag sOnce;
  std::call_once(sOnce, [aThreads] {
    try {
      crossplat::threadpool::initialize_with_threads(aThreads);
    } catch (const std::exception&) {
      // The thread pool is already initialized.
      return;
    }
  });
}

} // namespace nutmegrock::store::http
