#include "cli/PublishCommand.h"

#include "cli/CommandLine.h"
#include "profiles/ProfileDocument.h"

#include <cstdlib>
#include <random>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::cli {

namespace {

using web::json::value;

std::string
DefaultAuthor()
{
  const char* user = std::getenv("USER");
  return user != nullptr && *user != '\0' ? user : "unknown";
}

std::string
NewPublicationId()
{
  std::random_device random;
  return fmt::format("{:08x}{:08x}", random(), random());
}

/// Parsed arguments of `publish`.
struct PublishArguments
{
  core::Address mAdmin;
  std::string mDocument;
  std::uint64_t mExpected = 0;
  std::string mAuthor;
  std::string mPublication;
  bool mYes = false;
};

/// Fetches and prints the differences between the expected version and the
/// document.
tl::expected<value, ExitCode>
ShowDifference(const AdminClient& aClient,
               const PublishArguments& aArguments,
               const CommandOutput& aOutput)
{
  const auto response =
    aClient.Send("POST",
                 fmt::format("/profiles/diff?from={}", aArguments.mExpected),
                 aArguments.mDocument);
  if (!response) {
    return tl::make_unexpected(
      aOutput.Fail(ExitCode::NotReachable, response.error().mMessage));
  }
  if (!response->IsSuccess()) {
    return tl::make_unexpected(aOutput.ReportRejection(*response));
  }
  const value& changes = response->mBody.at("changes");
  if (!aOutput.mJson) {
    aOutput.PrintChanges(changes);
  }
  return changes;
}

ExitCode
Put(const AdminClient& aClient,
    const PublishArguments& aArguments,
    const value& aChanges,
    const CommandOutput& aOutput)
{
  const auto response = aClient.Send(
    "PUT",
    fmt::format("/profiles?author={}&publication={}",
                store::http::EncodeSegment(aArguments.mAuthor),
                store::http::EncodeSegment(aArguments.mPublication)),
    aArguments.mDocument,
    { { "If-Match", fmt::format("\"{}\"", aArguments.mExpected) } });
  const std::string repeat = fmt::format(
    "to repeat it safely, add --publication {}", aArguments.mPublication);
  if (!response) {
    return aOutput.Fail(
      ExitCode::NotReachable,
      fmt::format("it is not known whether the publication was accepted: {}; "
                  "{}",
                  response.error().mMessage,
                  repeat));
  }
  if (!response->IsSuccess()) {
    const ExitCode code = aOutput.ReportRejection(*response);
    if (code == ExitCode::NotReachable) {
      aOutput.mErr << repeat << "\n";
    }
    return code;
  }
  if (aOutput.mJson) {
    value body = value::object();
    body["changes"] = aChanges;
    body["published"] = response->mBody;
    aOutput.mOut << body.serialize() << "\n";
  } else {
    aOutput.mOut << "published as version "
                 << response->mBody.at("version").serialize() << "\n";
  }
  return ExitCode::Ok;
}

ExitCode
ShowAndPublish(const PublishArguments& aArguments, const CommandOutput& aOutput)
{
  const auto client = AdminClient::Make(aArguments.mAdmin);
  if (!client) {
    return aOutput.Fail(ExitCode::WrongUsage, client.error().mMessage);
  }
  const auto changes = ShowDifference(*client, aArguments, aOutput);
  if (!changes) {
    return changes.error();
  }
  if (!aArguments.mYes) {
    if (aOutput.mJson) {
      value body = value::object();
      body["changes"] = *changes;
      aOutput.mOut << body.serialize() << "\n";
    }
    return aOutput.Fail(ExitCode::Refused,
                        "nothing was published; add --yes to publish");
  }
  return Put(*client, aArguments, *changes, aOutput);
}

} // namespace

ExitCode
RunPublishCommand(const std::vector<std::string>& aArguments,
                  CommandOutput aOutput)
{
  CommandLine line("profile publish",
                   "Shows how a profile document differs from the expected "
                   "version and, with --yes, publishes it as the next one.",
                   aOutput.mOut,
                   aOutput.mErr);
  const auto& file = line.Positional("FILE", "Profile document in YAML.");
  const auto& admin = line.Admin();
  const auto& expect = line.Value(
    "expect", "VERSION", "Version that is current; 0 for the first.", true);
  const auto& author = line.Value(
    "author", "NAME", "Who publishes; by default the user's name.", false);
  const auto& publication =
    line.Value("publication",
               "ID",
               "Id of an earlier try whose outcome is not known.",
               false);
  const auto& yes = line.Switch("yes", "Publish.");
  const auto& json = line.Switch("json", "Print JSON.");
  if (const auto code = line.Parse(aArguments)) {
    return *code;
  }
  aOutput.mJson = json.getValue();
  const auto address = line.AddressOf(admin);
  const auto version = line.NumberOf(expect);
  if (!address || !version) {
    return ExitCode::WrongUsage;
  }
  const auto text = ReadFile(file.getValue());
  if (!text) {
    return aOutput.Fail(ExitCode::WrongUsage, "cannot read " + file.getValue());
  }
  const auto checked = profiles::ProfileDocument::Check(*text);
  if (!checked.mFaults.empty()) {
    aOutput.PrintFaults(checked.mFaults, file.getValue());
    return ExitCode::Refused;
  }
  return ShowAndPublish(
    { *address,
      *text,
      *version,
      author.isSet() ? author.getValue() : DefaultAuthor(),
      publication.isSet() ? publication.getValue() : NewPublicationId(),
      yes.getValue() },
    aOutput);
}

} // namespace nutmegrock::cli
