#include "admin/AdminServer.h"

#include "platform/http/StoreClient.h"

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

/// Time for a client to send its body.
constexpr std::chrono::seconds kReceiveTimeout{ 30 };

std::string
LowerCase(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
  return aText;
}

/// Throws web::uri_exception for a query that is not percent-encoded.
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

void
Reply(const http_request& aRequest, const AdminAnswer& aAnswer, bool aClose)
{
  http_response response(static_cast<web::http::status_code>(aAnswer.mStatus));
  for (const auto& [name, value] : aAnswer.mHeaders) {
    response.headers().add(name, value);
  }
  if (aClose) {
    response.headers().add("Connection", "close");
  }
  response.set_body(aAnswer.mBody, aAnswer.mContentType);
  aRequest.reply(response).then([](const pplx::task<void>& aTask) {
    try {
      aTask.get();
    } catch (const std::exception&) {
      // The client no longer waits.
      return;
    }
  });
}

void
ReplyError(const http_request& aRequest,
           core::ErrorKind aKind,
           std::string aMessage,
           bool aClose)
{
  Reply(aRequest,
        AdminAnswer::Error(core::MakeError(aKind, std::move(aMessage))),
        aClose);
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

  /// Throws when the address cannot be bound.
  void Open()
  {
    http_listener_config config;
    config.set_timeout(kReceiveTimeout);
    mListener = http_listener("http://" + mSettings.mListen.Text(), config);
    mListener.support([weak = weak_from_this()](const http_request& aRequest) {
      if (const auto self = weak.lock()) {
        self->Receive(aRequest);
      }
    });
    mListener.open().wait();
    for (std::size_t i = 0; i < mSettings.mWorkers; ++i) {
      mWorkers.emplace_back([this] { Work(); });
    }
  }

  void Close()
  {
    // Workers go on while the listener closes, so that requests received are
    // answered.
    try {
      mListener.close().wait();
    } catch (const std::exception& exception) {
      spdlog::warn("closing the administration API: {}", exception.what());
    }
    {
      const std::scoped_lock lock(mMutex);
      mStopped = true;
    }
    mChanged.notify_all();
    for (std::thread& worker : mWorkers) {
      worker.join();
    }
  }

private:
  void Receive(const http_request& aRequest)
  {
    // The length is checked before the body arrives, since cpprestsdk stores
    // the body as fast as it is sent. The connection is closed with the refusal
    // so that the rest is not read.
    const auto& headers = aRequest.headers();
    if (headers.has("Transfer-Encoding")) {
      return ReplyError(aRequest,
                        core::ErrorKind::BadRequest,
                        "a body needs a Content-Length",
                        true);
    }
    if (headers.content_length() > mSettings.mMaxBody) {
      return ReplyError(
        aRequest,
        core::ErrorKind::BodyTooLarge,
        fmt::format("the body is longer than {} bytes", mSettings.mMaxBody),
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
    {
      const std::scoped_lock lock(mMutex);
      if (!mStopped && mWaiting.size() < mSettings.mMaxWaiting) {
        mWaiting.push_back(aRequest);
        mChanged.notify_one();
        return;
      }
    }
    ReplyError(aRequest,
               core::ErrorKind::QueueFull,
               "too many administration requests are waiting",
               false);
  }

  void Work()
  {
    std::unique_lock lock(mMutex);
    while (true) {
      mChanged.wait(lock, [this] { return mStopped || !mWaiting.empty(); });
      if (mWaiting.empty()) {
        return;
      }
      const http_request request = std::move(mWaiting.front());
      mWaiting.pop_front();
      lock.unlock();
      Serve(request);
      lock.lock();
    }
  }

  void Serve(const http_request& aRequest) const
  {
    try {
      Reply(aRequest, mRoutes.Serve(RequestOf(aRequest)), false);
    } catch (const std::exception& exception) {
      ReplyError(
        aRequest, core::ErrorKind::BadRequest, exception.what(), false);
    }
  }

  Settings mSettings;
  RouteTable mRoutes;
  http_listener mListener;
  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mStopped = false;
  std::deque<http_request> mWaiting;
  std::vector<std::thread> mWorkers;
};

core::Expected<std::unique_ptr<AdminServer>>
AdminServer::Open(Settings aSettings, std::vector<AdminRoute> aRoutes)
{
  platform::http::InitializePool();
  const std::string address = aSettings.mListen.Text();
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
