#include "admin/AdminServer.h"

#include "store/http/StoreClient.h"

#include <algorithm>
#include <condition_variable>
#include <cpprest/http_listener.h>
#include <deque>
#include <mutex>
#include <spdlog/spdlog.h>
#include <thread>
#include <utility>

namespace nutmegrock::admin {

namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::experimental::listener::http_listener;
using web::http::experimental::listener::http_listener_config;

/// Timeout for receiving a request body.
constexpr std::chrono::seconds kReceiveTimeout{ 30 };
/// Timeout for sending pending responses when the server closes.
constexpr std::chrono::seconds kSendTimeout{ 2 };

std::string
LowerCase(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
  return aText;
}

/// Throws web::uri_exception for an invalid percent-encoding in the query.
AdminRequest
RequestOf(const http_request& aRequest)
{
  AdminRequest request;
  request.mMethod = aRequest.method();
  request.mPath = aRequest.absolute_uri().path();
  const auto query = web::uri::split_query(aRequest.absolute_uri().query());
  for (const auto& [name, value] : query) {
    request.mQuery[web::uri::decode(name)] = web::uri::decode(value);
  }
  for (const auto& [name, value] : aRequest.headers()) {
    request.mHeaders[LowerCase(name)] = value;
  }
  const auto bytes = aRequest.extract_vector().get();
  request.mBody.assign(bytes.begin(), bytes.end());
  return request;
}

http_response
ResponseOf(const AdminResponse& aResponse)
{
  http_response response(
    static_cast<web::http::status_code>(aResponse.mStatus));
  for (const auto& [name, value] : aResponse.mHeaders) {
    response.headers().add(name, value);
  }
  response.set_body(aResponse.mBody, aResponse.mContentType);
  return response;
}

AdminResponse
ErrorResponse(core::ErrorKind aKind, std::string aMessage)
{
  return AdminResponse::Error(core::MakeError(aKind, std::move(aMessage)));
}

} // namespace

class AdminServer::Implementation
  : public std::enable_shared_from_this<Implementation>
{
public:
  Implementation(Settings aSettings, std::vector<AdminRoute> aRoutes)
    : mSettings(std::move(aSettings))
    , mRoutes(kVersionPath, std::move(aRoutes))
  {
  }

  /// Throws if the address cannot be bound.
  void Open()
  {
    http_listener_config config;
    config.set_timeout(kReceiveTimeout);
    mListener = http_listener("http://" + mSettings.mListen.ToString(), config);
    mListener.support([weak = weak_from_this()](const http_request& aRequest) {
      if (const auto self = weak.lock()) {
        self->Receive(aRequest);
      }
    });
    mListener.open().wait();
    for (std::size_t i = 0; i < mSettings.mWorkers; ++i) {
      mWorkers.emplace_back([this] { RunWorker(); });
    }
  }

  void Close()
  {
    {
      const std::scoped_lock lock(mMutex);
      mStopped = true;
    }
    mChanged.notify_all();
    for (std::thread& worker : mWorkers) {
      worker.join();
    }
    // Closing the listener cuts off responses that are not yet sent.
    {
      std::unique_lock lock(mMutex);
      mChanged.wait_for(
        lock, kSendTimeout, [this] { return mPendingResponses == 0; });
    }
    try {
      mListener.close().wait();
    } catch (const std::exception& exception) {
      spdlog::warn("closing the administration API: {}", exception.what());
    }
  }

private:
  void Receive(const http_request& aRequest)
  {
    // The length is checked before the body arrives, since cpprestsdk buffers
    // the body as fast as it is sent. The rejection closes the connection so
    // that the rest is not read.
    const auto& headers = aRequest.headers();
    if (headers.has("Transfer-Encoding")) {
      return Reply(aRequest,
                   ErrorResponse(core::ErrorKind::BadRequest,
                                 "a body needs a Content-Length"),
                   true);
    }
    if (headers.content_length() > mSettings.mMaxBody) {
      return Reply(aRequest,
                   ErrorResponse(core::ErrorKind::BodyTooLarge,
                                 fmt::format("the body is longer than {} bytes",
                                             mSettings.mMaxBody)),
                   true);
    }
    aRequest.content_ready().then(
      [weak = weak_from_this()](const pplx::task<http_request>& aTask) {
        try {
          if (const auto self = weak.lock()) {
            self->Enqueue(aTask.get());
          }
        } catch (const std::exception& exception) {
          spdlog::debug("administration request: {}", exception.what());
        }
      });
  }

  void Enqueue(const http_request& aRequest)
  {
    bool stopped = false;
    {
      const std::scoped_lock lock(mMutex);
      stopped = mStopped;
      if (!stopped && mWaiting.size() < mSettings.mMaxWaiting) {
        mWaiting.push_back(aRequest);
        mChanged.notify_one();
        return;
      }
    }
    Reply(aRequest,
          stopped
            ? ErrorResponse(core::ErrorKind::Draining,
                            "the administration API is closing")
            : ErrorResponse(core::ErrorKind::QueueFull,
                            "too many administration requests are waiting"),
          false);
  }

  void RunWorker()
  {
    std::unique_lock lock(mMutex);
    while (true) {
      mChanged.wait(lock, [this] { return mStopped || !mWaiting.empty(); });
      if (mWaiting.empty()) {
        return;
      }
      const http_request request = mWaiting.front();
      mWaiting.pop_front();
      lock.unlock();
      Serve(request);
      lock.lock();
    }
  }

  void Serve(const http_request& aRequest)
  {
    AdminResponse response;
    try {
      response = mRoutes.Serve(RequestOf(aRequest));
    } catch (const std::exception& exception) {
      response = ErrorResponse(core::ErrorKind::BadRequest, exception.what());
    }
    Reply(aRequest, response, false);
  }

  void Reply(const http_request& aRequest,
             const AdminResponse& aResponse,
             bool aClose)
  {
    http_response response = ResponseOf(aResponse);
    if (aClose) {
      response.headers().add("Connection", "close");
    }
    {
      const std::scoped_lock lock(mMutex);
      ++mPendingResponses;
    }
    aRequest.reply(response).then(
      [self = shared_from_this()](const pplx::task<void>& aTask) {
        try {
          aTask.get();
        } catch (const std::exception& exception) {
          spdlog::debug("administration response: {}", exception.what());
        }
        const std::scoped_lock lock(self->mMutex);
        --self->mPendingResponses;
        self->mChanged.notify_all();
      });
  }

  Settings mSettings;
  RouteTable mRoutes;
  http_listener mListener;
  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mStopped = false;
  std::deque<http_request> mWaiting;
  /// Responses passed to cpprestsdk and not yet sent.
  std::size_t mPendingResponses = 0;
  std::vector<std::thread> mWorkers;
};

core::Expected<std::unique_ptr<AdminServer>>
AdminServer::Open(Settings aSettings, std::vector<AdminRoute> aRoutes)
{
  store::http::InitializeThreadPool();
  const std::string address = aSettings.mListen.ToString();
  try {
    auto implementation = std::make_shared<Implementation>(std::move(aSettings),
                                                           std::move(aRoutes));
    implementation->Open();
    return std::unique_ptr<AdminServer>(
      new AdminServer(std::move(implementation)));
  } catch (const std::exception& exception) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      fmt::format("administration API cannot listen on {}: {}",
                                  address,
                                  exception.what()));
  }
}

AdminServer::AdminServer(std::shared_ptr<Implementation> aImplementation)
  : mImplementation(std::move(aImplementation))
{
}

AdminServer::~AdminServer()
{
  mImplementation->Close();
}

} // namespace nutmegrock::admin
