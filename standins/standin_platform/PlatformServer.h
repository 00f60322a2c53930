#pragma once

#include "standins/standin_platform/PlatformState.h"
#include "store/http/StoreClient.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <cpprest/http_listener.h>
#include <memory>
#include <mutex>
#include <pplx/threadpool.h>
#include <string>
#include <vector>

namespace nutmegrock::standins {

/// Serves a PlatformState over HTTP as specified in section 11 of
/// docs/design.md.
class PlatformServer
{
public:
  /// Listens on "http://IP:PORT". Throws web::http::http_exception if the
  /// address cannot be bound. aState must outlive the server.
  PlatformServer(PlatformState& aState, const std::string& aUrl)
    : mState(aState)
    , mListener(Listen(aUrl))
  {
    mListener.support([this](const Request& aRequest) { Handle(aRequest); });
    mListener.open().wait();
  }
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;
  ~PlatformServer()
  {
    ReleaseHeld();
    mListener.close().wait();
  }

private:
  using Request = web::http::http_request;
  using Response = web::http::http_response;
  using Status = web::http::status_codes;
  using Value = web::json::value;

  /// Maximum number of requests kept open without a response, as if the network
  /// had lost it. Further ones get a 503.
  static constexpr std::size_t kMaxHeld = 256;

  static web::http::experimental::listener::http_listener Listen(
    const std::string& aUrl)
  {
    store::http::InitializeThreadPool();
    return web::http::experimental::listener::http_listener(aUrl);
  }

  void Handle(const Request& aRequest)
  {
    // Continuations wait for the body: blocking threads of the pool would block
    // those that read the body.
    aRequest.extract_vector().then(
      [this, aRequest](const pplx::task<std::vector<unsigned char>>& aTask) {
        try {
          const auto bytes = aTask.get();
          Serve(aRequest, std::string(bytes.begin(), bytes.end()));
        } catch (const std::exception&) {
          // The caller closed the connection or sent an unreadable request.
          return;
        }
      });
  }

  void Serve(const Request& aRequest, const std::string& aBody)
  {
    const std::vector<std::string> path =
      web::uri::split_path(aRequest.absolute_uri().path());
    const std::string first = path.empty() ? "" : path.front();
    if (first == "faults" || first == "counts") {
      return Reply(aRequest, Control(first, aBody), {});
    }
    const PlatformFaults faults = mState.Faults();
    if (faults.mDown) {
      return Reply(aRequest, Response(Status::ServiceUnavailable), {});
    }
    Response response(Status::NotFound);
    try {
      response = Store(aRequest, path, aBody);
    } catch (const std::exception& exception) {
      response = Response(Status::BadRequest);
      response.set_body(std::string(exception.what()));
    }
    if (aRequest.method() != web::http::methods::GET &&
        response.status_code() < 300 && mState.ShouldLoseResponse()) {
      return Hold(aRequest);
    }
    Reply(aRequest, response, faults.mDelay);
  }

  Response Store(const Request& aRequest,
                 const std::vector<std::string>& aPath,
                 const std::string& aBody)
  {
    if (aPath.size() == 1 && aPath[0] == "table") {
      return Scan(aRequest);
    }
    if (aPath.size() != 2) {
      return Response(Status::NotFound);
    }
    const std::string name = web::uri::decode(aPath[1]);
    if (aPath[0] == "table") {
      return Table(aRequest, name, aBody);
    }
    return aPath[0] == "object" ? Object(aRequest, name, aBody)
                                : Response(Status::NotFound);
  }

  Response Table(const Request& aRequest,
                 const std::string& aKey,
                 const std::string& aBody)
  {
    if (aRequest.method() == web::http::methods::GET) {
      const auto row = mState.ReadRow(aKey);
      return row ? WithVersion(row->mVersion, row->mValue)
                 : Response(Status::NotFound);
    }
    if (aRequest.method() == web::http::methods::PUT) {
      const auto expected = Expected(aRequest);
      if (!expected) {
        return Response(Status::BadRequest);
      }
      const auto result = mState.WriteRow(aKey, aBody, *expected);
      return result.mWritten ? WithVersion(result.mVersion, "")
                             : Response(Status::PreconditionFailed);
    }
    if (aRequest.method() == web::http::methods::DEL) {
      mState.RemoveRow(aKey);
      return Response(Status::NoContent);
    }
    return Response(Status::MethodNotAllowed);
  }

  Response Object(const Request& aRequest,
                  const std::string& aName,
                  const std::string& aBody)
  {
    if (aRequest.method() == web::http::methods::GET) {
      const auto object = mState.ReadObject(aName);
      Response response(object ? Status::OK : Status::NotFound);
      response.set_body(object.value_or(""), "application/octet-stream");
      return response;
    }
    if (aRequest.method() == web::http::methods::PUT) {
      mState.WriteObject(aName, aBody);
      return Response(Status::OK);
    }
    return Response(Status::MethodNotAllowed);
  }

  Response Scan(const Request& aRequest)
  {
    auto query = web::uri::split_query(aRequest.absolute_uri().query());
    const std::string limit = query["limit"];
    const auto rows =
      mState.ScanRows(web::uri::decode(query["prefix"]),
                      web::uri::decode(query["from"]),
                      limit.empty() ? 1000 : std::stoull(limit));
    Value list = Value::array(rows.size());
    for (std::size_t i = 0; i < rows.size(); ++i) {
      list[i]["key"] = Value::string(rows[i].mKey);
      list[i]["value"] = Value::string(rows[i].mValue);
      list[i]["version"] = Value::number(rows[i].mVersion);
    }
    Response response(Status::OK);
    response.set_body(list);
    return response;
  }

  Response Control(const std::string& aName, const std::string& aBody)
  {
    Response response(Status::OK);
    if (aName == "counts") {
      const PlatformCounts counts = mState.Counts();
      Value body = Value::object();
      body["reads"] = Value::number(counts.mReads);
      body["writes"] = Value::number(counts.mWrites);
      response.set_body(body);
      return response;
    }
    try {
      SetFaults(Value::parse(aBody));
    } catch (const std::exception& exception) {
      response.set_status_code(Status::BadRequest);
      response.set_body(std::string(exception.what()));
    }
    return response;
  }

  /// Sets the faults named in the body and leaves the others unchanged.
  void SetFaults(const Value& aBody)
  {
    PlatformFaults faults = mState.Faults();
    const auto count = [&aBody](const char* aKey, std::int64_t& aCount) {
      if (aBody.has_field(aKey)) {
        const Value& value = aBody.at(aKey);
        aCount = value.is_boolean() ? (value.as_bool() ? -1 : 0)
                                    : value.as_number().to_int64();
      }
    };
    if (aBody.has_field("down")) {
      faults.mDown = aBody.at("down").as_bool();
    }
    if (aBody.has_field("delay_ms")) {
      faults.mDelay =
        std::chrono::milliseconds(aBody.at("delay_ms").as_number().to_int64());
    }
    count("lose_answers", faults.mLoseResponses);
    count("stale_reads", faults.mStaleReads);
    mState.SetFaults(faults);
    if (faults.mLoseResponses == 0) {
      ReleaseHeld();
    }
  }

  /// Returns the version in If-Match, 0 for "If-None-Match: *", or nothing for
  /// invalid or missing headers.
  static std::optional<std::uint64_t> Expected(const Request& aRequest)
  {
    const auto& headers = aRequest.headers();
    const auto match = headers.find("If-Match");
    if (match == headers.end()) {
      const auto none = headers.find("If-None-Match");
      return none != headers.end() && none->second == "*"
               ? std::optional<std::uint64_t>(0)
               : std::nullopt;
    }
    std::uint64_t version = 0;
    const std::string& text = match->second;
    const char* end = text.data() + text.size();
    const bool quoted = text.size() > 2 && text.front() == '"';
    if (!quoted ||
        std::from_chars(text.data() + 1, end, version).ptr != end - 1) {
      return std::nullopt;
    }
    return version;
  }

  static Response WithVersion(std::uint64_t aVersion, const std::string& aBody)
  {
    Response response(Status::OK);
    response.headers().add("ETag", "\"" + std::to_string(aVersion) + "\"");
    response.set_body(aBody, "application/octet-stream");
    return response;
  }

  static void Reply(const Request& aRequest,
                    const Response& aResponse,
                    std::chrono::milliseconds aDelay)
  {
    const auto send = [aRequest, aResponse] {
      aRequest.reply(aResponse).then([](const pplx::task<void>& aTask) {
        try {
          aTask.get();
        } catch (const std::exception&) {
          // The caller no longer waits.
          return;
        }
      });
    };
    if (aDelay.count() == 0) {
      return send();
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
      crossplat::threadpool::shared_instance().service(), aDelay);
    timer->async_wait(
      [timer, send](const boost::system::error_code&) { send(); });
  }

  void Hold(const Request& aRequest)
  {
    {
      const std::scoped_lock lock(mMutex);
      if (mHeld.size() < kMaxHeld) {
        mHeld.push_back(aRequest);
        return;
      }
    }
    Reply(aRequest, Response(Status::ServiceUnavailable), {});
  }

  void ReleaseHeld()
  {
    std::vector<Request> held;
    {
      const std::scoped_lock lock(mMutex);
      held.swap(mHeld);
    }
    for (const Request& request : held) {
      Reply(request, Response(Status::ServiceUnavailable), {});
    }
  }

  PlatformState& mState;
  web::http::experimental::listener::http_listener mListener;
  std::mutex mMutex;
  std::vector<Request> mHeld;
};

} // namespace nutmegrock::standins
