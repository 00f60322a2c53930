#pragma once

#include "standins/standin_backend/BackendState.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace nutmegrock::standin_backend {

/// Announces the server to its node and reports its load. Announces again when
/// a report fails, since the node may have been replaced. Runs on one strand.
class NodeLink : public std::enable_shared_from_this<NodeLink>
{
public:
  static std::shared_ptr<NodeLink> Create(boost::asio::io_context& aContext,
                                          std::shared_ptr<BackendState> aState);

  void Start();
  /// Notifies the node that the server is draining.
  void Drain(std::function<void()> aDone);
  /// Notifies the node that the server has left, and stops load reports.
  void Leave(std::function<void()> aDone);

private:
  NodeLink(boost::asio::io_context& aContext,
           std::shared_ptr<BackendState> aState);
  void Schedule(std::chrono::milliseconds aPause);
  void Tick();
  std::string LoadBody();
  void Post(const std::string& aPath,
            std::string aBody,
            std::function<void(bool)> aDone);

  std::shared_ptr<BackendState> mState;
  boost::asio::steady_timer mTimer;
  bool mAnnounced = false;
  bool mStopped = false;
  std::deque<std::string> mPastReports;
};

} // namespace nutmegrock::standin_backend
