#pragma once

#include "experiment/PooledClient.h"
#include "standins/standin_backend/BackendState.h"
#include "standins/standin_backend/Work.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace nutmegrock::standin_backend {

/// Returns the response to a control request, or nothing if the request is
/// work.
using ControlHandler = std::function<std::optional<experiment::HttpResponse>(
  const experiment::HttpRequest&)>;

/// One connection. Requests are handled one after the other; the work of a
/// request is aborted when the client closes the connection.
class Session : public std::enable_shared_from_this<Session>
{
public:
  /// Unless aAcceptsWork, work is refused with status 503 and
  /// Nutmegrock-Run: not-run. aOnClosed is called once when the connection has
  /// ended.
  static std::shared_ptr<Session> Create(boost::asio::ip::tcp::socket aSocket,
                                         std::shared_ptr<BackendState> aState,
                                         bool aAcceptsWork,
                                         ControlHandler aControl,
                                         std::function<void()> aOnClosed);
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;
  ~Session();

  void Start();

private:
  Session(boost::asio::ip::tcp::socket aSocket,
          std::shared_ptr<BackendState> aState,
          bool aAcceptsWork,
          ControlHandler aControl,
          std::function<void()> aOnClosed);
  void Read();
  void OnRequest();
  void WatchForClose();
  void Write(experiment::HttpResponse aResponse);

  boost::beast::tcp_stream mStream;
  std::shared_ptr<BackendState> mState;
  const bool mAcceptsWork;
  ControlHandler mControl;
  std::function<void()> mOnClosed;
  boost::beast::flat_buffer mBuffer;
  std::optional<
    boost::beast::http::request_parser<boost::beast::http::string_body>>
    mParser;
  std::optional<experiment::HttpResponse> mResponse;
  std::shared_ptr<Work> mWork;
  bool mWatching = false;
};

} // namespace nutmegrock::standin_backend
