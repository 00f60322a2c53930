#include "admin/ProfileRoutes.h"

#include "admin/ProfileJson.h"
#include "profiles/ProfileDocument.h"
#include "profiles/ProfilePublisher.h"
#include "profiles/ProfileReader.h"

#include <charconv>
#include <memory>
#include <spdlog/fmt/fmt.h>
#include <thread>
#include <utility>

namespace nutmegrock::admin {

namespace {

using core::ErrorKind;
using web::json::value;

constexpr std::uint64_t kDefaultHistory = 20;
/// Each version of a history takes one read of the store.
constexpr std::uint64_t kMaxHistory = 200;

std::optional<std::uint64_t>
NumberOf(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [stopped, status] = std::from_chars(aText.data(), end, number);
  return aText.empty() || stopped != end || status != std::errc{}
           ? std::nullopt
           : std::optional(number);
}

AdminResponse
BadRequest(std::string aMessage)
{
  return AdminResponse::Error(
    core::MakeError(ErrorKind::BadRequest, std::move(aMessage)));
}

AdminResponse
WithETag(AdminResponse aResponse, std::uint64_t aVersion)
{
  aResponse.mHeaders["ETag"] = fmt::format("\"{}\"", aVersion);
  return aResponse;
}

AdminResponse
SetResponse(const profiles::PublishedSet& aPublished)
{
  return WithETag(AdminResponse::Json(JsonOf(aPublished)),
                  aPublished.mRecord.mVersion);
}

AdminResponse
RecordResponse(core::Expected<profiles::ProfileRecord> aRecord)
{
  auto published = aRecord ? profiles::PublishedSet::Of(std::move(*aRecord))
                           : core::Expected<profiles::PublishedSet>(
                               tl::make_unexpected(aRecord.error()));
  return published ? SetResponse(*published)
                   : AdminResponse::Error(published.error());
}

AdminResponse
RefusalResponse(const profiles::PublishRefusal& aRefusal)
{
  value details = value::object();
  if (aRefusal.mError.mKind == ErrorKind::InvalidProfiles) {
    details["faults"] = JsonOf(aRefusal.mFaults);
  }
  if (aRefusal.mCurrent) {
    const profiles::CurrentRow& row = *aRefusal.mCurrent;
    details["version"] = value::number(row.mRecord.mVersion);
    details["author"] = value::string(row.mAuthor);
    details["time"] = value::string(profiles::FormatTime(row.mTime));
  }
  return AdminResponse::Error(aRefusal.mError, details);
}

/// The handlers and their dependencies.
class Handlers
{
public:
  explicit Handlers(ProfileRoutes::Settings aSettings)
    : mSettings(std::move(aSettings))
    , mReader(mSettings.mTable, mSettings.mObjects)
    , mPublisher(mSettings.mTable,
                 mSettings.mObjects,
                 { .mPause = mSettings.mPause ? mSettings.mPause : Sleep })
  {
  }

  AdminResponse InForce(const AdminRequest&) const
  {
    const auto record = mSettings.mActiveProfiles.Record();
    if (!record) {
      return AdminResponse::Error(core::MakeError(
        ErrorKind::NoProfiles, "no profiles are in force on this node"));
    }
    return RecordResponse(*record);
  }

  AdminResponse Current(const AdminRequest&) const
  {
    const auto published = mReader.CurrentSet();
    if (!published) {
      return AdminResponse::Error(published.error());
    }
    if (!*published) {
      return AdminResponse::Error(core::MakeError(
        ErrorKind::NotFound, "no profiles have been published"));
    }
    return SetResponse(**published);
  }

  AdminResponse Version(const AdminRequest& aRequest) const
  {
    const auto version =
      NumberOf(AdminRequest::ValueOf(aRequest.mVariables, "version"));
    return version ? RecordResponse(mReader.Version(*version))
                   : BadRequest("the version must be a number");
  }

  AdminResponse History(const AdminRequest& aRequest) const
  {
    const auto limit = QueryNumber(aRequest, "limit", kDefaultHistory);
    const auto before = QueryNumber(aRequest, "before", 0);
    if (!limit || !before || *limit > kMaxHistory) {
      return BadRequest(fmt::format(
        "limit and before must be numbers, limit at most {}", kMaxHistory));
    }
    const auto records = mReader.History(*limit, *before);
    if (!records) {
      return AdminResponse::Error(records.error());
    }
    value list = value::array(records->size());
    for (std::size_t i = 0; i < records->size(); ++i) {
      list[i] = JsonOf((*records)[i]);
    }
    value body = value::object();
    body["versions"] = list;
    return AdminResponse::Json(body);
  }

  AdminResponse Difference(const AdminRequest& aRequest) const
  {
    const auto from = QueryNumber(aRequest, "from", std::nullopt);
    const auto to = QueryNumber(aRequest, "to", std::nullopt);
    if (!from || !to) {
      return BadRequest("from and to must be versions");
    }
    const auto changes = mReader.Difference(*from, *to);
    if (!changes) {
      return AdminResponse::Error(changes.error());
    }
    value body = value::object();
    body["from"] = value::number(*from);
    body["to"] = value::number(*to);
    body["changes"] = JsonOf(*changes);
    return AdminResponse::Json(body);
  }

  AdminResponse DifferenceToBody(const AdminRequest& aRequest) const
  {
    const auto from = QueryNumber(aRequest, "from", std::nullopt);
    if (!from) {
      return BadRequest("from must be a version");
    }
    const auto checked = profiles::ProfileDocument::Check(aRequest.mBody);
    if (!checked.mFaults.empty()) {
      return FaultsResponse(checked.mFaults);
    }
    const auto changes = mReader.Difference(*from, checked.mSet);
    if (!changes) {
      return AdminResponse::Error(changes.error());
    }
    value body = value::object();
    body["from"] = value::number(*from);
    body["changes"] = JsonOf(*changes);
    return AdminResponse::Json(body);
  }

  AdminResponse Check(const AdminRequest& aRequest) const
  {
    const auto checked = profiles::ProfileDocument::Check(aRequest.mBody);
    value body = value::object();
    body["valid"] = value::boolean(checked.mFaults.empty());
    body["faults"] = JsonOf(checked.mFaults);
    return AdminResponse::Json(body);
  }

  AdminResponse Publish(const AdminRequest& aRequest)
  {
    const std::string match =
      AdminRequest::ValueOf(aRequest.mHeaders, "if-match");
    const bool quoted =
      match.size() > 2 && match.front() == '"' && match.back() == '"';
    const auto expected =
      quoted ? NumberOf(std::string_view(match).substr(1, match.size() - 2))
             : std::nullopt;
    if (!expected) {
      return BadRequest("publishing needs the header If-Match with the "
                        "expected version in double quotes");
    }
    const auto now = std::chrono::floor<std::chrono::seconds>(
      std::chrono::system_clock::now());
    const auto published = mPublisher.Publish(
      { aRequest.mBody,
        *expected,
        AdminRequest::ValueOf(aRequest.mQuery, "author"),
        AdminRequest::ValueOf(aRequest.mQuery, "publication") },
      now);
    if (!published) {
      return RefusalResponse(published.error());
    }
    if (mSettings.mOnPublished) {
      mSettings.mOnPublished(*published);
    }
    return WithETag(AdminResponse::Json(JsonOf(published->mRecord)),
                    published->mRecord.mVersion);
  }

private:
  static void Sleep(unsigned aAttempt)
  {
    std::this_thread::sleep_for(std::chrono::milliseconds(200) * aAttempt);
  }

  static std::optional<std::uint64_t> QueryNumber(
    const AdminRequest& aRequest,
    std::string_view aName,
    std::optional<std::uint64_t> aDefault)
  {
    const std::string text = AdminRequest::ValueOf(aRequest.mQuery, aName);
    return text.empty() ? aDefault : NumberOf(text);
  }

  static AdminResponse FaultsResponse(
    const std::vector<profiles::DocumentFault>& aFaults)
  {
    return RefusalResponse(
      { core::MakeError(ErrorKind::InvalidProfiles, "the document has faults"),
        aFaults,
        {} });
  }

  ProfileRoutes::Settings mSettings;
  profiles::ProfileReader mReader;
  profiles::ProfilePublisher mPublisher;
};

} // namespace

std::vector<AdminRoute>
ProfileRoutes::Make(Settings aSettings)
{
  const auto handlers = std::make_shared<Handlers>(std::move(aSettings));
  const auto route = [&handlers](auto aHandler) {
    return [handlers, aHandler](const AdminRequest& aRequest) {
      return ((*handlers).*aHandler)(aRequest);
    };
  };
  return {
    { "GET", "/profiles", route(&Handlers::InForce) },
    { "PUT", "/profiles", route(&Handlers::Publish) },
    { "GET", "/profiles/current", route(&Handlers::Current) },
    { "GET", "/profiles/versions", route(&Handlers::History) },
    { "GET", "/profiles/versions/{version}", route(&Handlers::Version) },
    { "GET", "/profiles/diff", route(&Handlers::Difference) },
    { "POST", "/profiles/diff", route(&Handlers::DifferenceToBody) },
    { "POST", "/profiles/check", route(&Handlers::Check) },
  };
}

} // namespace nutmegrock::admin
