#pragma once

#include "announce/Announcement.h"
#include "core/Error.h"
#include "proxy/HeaderNames.h"
#include "routes/RouteStore.h"
#include "store/TableService.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace nutmegrock::gateway {

/// A backend server has left or is about to leave.
struct LeaveNotice
{
  std::string mId;
  /// As in Announcement.
  std::int64_t mStartedMs = 0;

  bool operator==(const LeaveNotice&) const = default;
};

using ServerNotice = std::variant<announce::Announcement, LeaveNotice>;

/// A request received by the notice listener.
struct NoticeRequest
{
  std::string mMethod;
  std::string mTarget;
  std::string mBody;
};

/// Dependencies provided by a platform adapter.
struct Ports
{
  proxy::HeaderNames mNames;
  /// Path of the readiness check.
  std::string mReadyPath = "/ready";
  std::shared_ptr<store::TableService> mTable;
  std::shared_ptr<routes::RouteStore> mRoutes;
  /// Moves mTable and mRoutes to another address of the store. Fails with
  /// InvalidSettings.
  std::function<core::Expected<bool>(const std::string&)> mSetStore;
  routes::RouteDecoder mDecodeRoutes;
  /// Fails with NotFound for a request that is not a notice, and with
  /// BadRequest for an invalid one.
  std::function<core::Expected<ServerNotice>(const NoticeRequest&)>
    mDecodeNotice;
  /// Body of the response that acknowledges a notice, a JSON document.
  std::string mNoticeResponse = "{}";
};

} // namespace nutmegrock::gateway
