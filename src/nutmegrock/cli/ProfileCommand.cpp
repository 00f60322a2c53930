#include "cli/ProfileCommand.h"

#include "admin/ProfileJson.h"
#include "cli/AdminClient.h"
#include "cli/CommandLine.h"
#include "profiles/ProfileDocument.h"

#include <array>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <optional>
#include <random>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::cli {

namespace {

using web::json::value;
using Arguments = std::vector<std::string>;

/// Where a subcommand writes and how.
struct Output
{
  std::ostream& mOut;
  std::ostream& mErr;
  bool mJson = false;

  ExitCode Fail(ExitCode aCode, const std::string& aMessage) const
  {
    mErr << "nutmegrock profile: " << aMessage << "\n";
    return aCode;
  }
};

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::string text((std::istreambuf_iterator<char>(file)), {});
  return file.bad() || !file.is_open() ? std::nullopt
                                       : std::optional(std::move(text));
}

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

void
PrintFaults(const std::vector<profiles::DocumentFault>& aFaults,
            const std::string& aFile,
            const Output& aOutput)
{
  if (aOutput.mJson) {
    value body = value::object();
    body["valid"] = value::boolean(aFaults.empty());
    body["faults"] = admin::JsonOf(aFaults);
    aOutput.mOut << body.serialize() << "\n";
    return;
  }
  for (const profiles::DocumentFault& fault : aFaults) {
    aOutput.mOut << aFile << ": " << fault.Text() << "\n";
  }
  if (aFaults.empty()) {
    aOutput.mOut << aFile << ": no faults\n";
  }
}

void
PrintChanges(const value& aChanges, std::ostream& aOut)
{
  const auto text = [](const value& aValue) {
    return aValue.is_string() ? std::optional(aValue.as_string())
                              : std::nullopt;
  };
  for (const value& change : aChanges.as_array()) {
    aOut << profiles::ProfileChange{ change.at("path").as_string(),
                                     text(change.at("before")),
                                     text(change.at("after")) }
              .Text()
         << "\n";
  }
  if (aChanges.size() == 0) {
    aOut << "no difference\n";
  }
}

/// Reports a refusal of the API.
ExitCode
Refused(const AdminClient::Answer& aAnswer, const Output& aOutput)
{
  const std::string kind = aAnswer.Text("error");
  if (aOutput.mJson) {
    aOutput.mOut << aAnswer.mBody.serialize() << "\n";
  }
  const bool unreachable = kind == "store_unavailable" || kind == "queue_full";
  return aOutput.Fail(unreachable ? ExitCode::NotReachable : ExitCode::Refused,
                      fmt::format("{}: {}", kind, aAnswer.Text("message")));
}

/// Sends a GET and gives the answer's body, or reports why there is none.
tl::expected<value, ExitCode>
Fetch(const core::Address& aAdmin,
      const std::string& aPath,
      const Output& aOutput)
{
  const auto client = AdminClient::Make(aAdmin);
  const auto answer = client ? client->Send("GET", aPath)
                             : core::Expected<AdminClient::Answer>(
                                 tl::make_unexpected(client.error()));
  if (!answer) {
    return tl::make_unexpected(
      aOutput.Fail(ExitCode::NotReachable, answer.error().mMessage));
  }
  if (!answer->IsSuccess()) {
    return tl::make_unexpected(Refused(*answer, aOutput));
  }
  return answer->mBody;
}

ExitCode
Check(const Arguments& aArguments, Output aOutput)
{
  CommandLine line("profile check",
                   "Lists the faults of a profile document. Needs no node.",
                   aOutput.mOut,
                   aOutput.mErr);
  const auto& file = line.Positional("FILE", "Profile document in YAML.");
  const auto& json = line.Switch("json", "Print JSON.");
  if (const auto code = line.Parse(aArguments)) {
    return *code;
  }
  aOutput.mJson = json.getValue();
  const auto text = ReadFile(file.getValue());
  if (!text) {
    return aOutput.Fail(ExitCode::WrongUsage, "cannot read " + file.getValue());
  }
  const auto checked = profiles::ProfileDocument::Check(*text);
  PrintFaults(checked.mFaults, file.getValue(), aOutput);
  return checked.mFaults.empty() ? ExitCode::Ok : ExitCode::Refused;
}

/// What `publish` was asked to do.
struct PublishArguments
{
  core::Address mAdmin;
  std::string mDocument;
  std::uint64_t mExpected = 0;
  std::string mAuthor;
  std::string mPublication;
  bool mYes = false;
};

/// The difference from the expected version to the document.
tl::expected<value, ExitCode>
ShowDifference(const AdminClient& aClient,
               const PublishArguments& aArguments,
               const Output& aOutput)
{
  const auto answer =
    aClient.Send("POST",
                 fmt::format("/profiles/diff?from={}", aArguments.mExpected),
                 aArguments.mDocument);
  if (!answer) {
    return tl::make_unexpected(
      aOutput.Fail(ExitCode::NotReachable, answer.error().mMessage));
  }
  if (!answer->IsSuccess()) {
    return tl::make_unexpected(Refused(*answer, aOutput));
  }
  const value& changes = answer->mBody.at("changes");
  if (!aOutput.mJson) {
    PrintChanges(changes, aOutput.mOut);
  }
  return changes;
}

ExitCode
Put(const AdminClient& aClient,
    const PublishArguments& aArguments,
    const value& aChanges,
    const Output& aOutput)
{
  const auto answer = aClient.Send(
    "PUT",
    fmt::format("/profiles?author={}&publication={}",
                platform::http::EncodeSegment(aArguments.mAuthor),
                platform::http::EncodeSegment(aArguments.mPublication)),
    aArguments.mDocument,
    { { "If-Match", fmt::format("\"{}\"", aArguments.mExpected) } });
  const std::string repeat = fmt::format(
    "to repeat it safely, add --publication {}", aArguments.mPublication);
  if (!answer) {
    return aOutput.Fail(
      ExitCode::NotReachable,
      fmt::format("it is not known whether the publication was accepted: {}; "
                  "{}",
                  answer.error().mMessage,
                  repeat));
  }
  if (!answer->IsSuccess()) {
    const ExitCode code = Refused(*answer, aOutput);
    if (code == ExitCode::NotReachable) {
      aOutput.mErr << repeat << "\n";
    }
    return code;
  }
  if (aOutput.mJson) {
    value body = value::object();
    body["changes"] = aChanges;
    body["published"] = answer->mBody;
    aOutput.mOut << body.serialize() << "\n";
  } else {
    aOutput.mOut << "published as version "
                 << answer->mBody.at("version").serialize() << "\n";
  }
  return ExitCode::Ok;
}

ExitCode
RunPublish(const PublishArguments& aArguments, const Output& aOutput)
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

ExitCode
Publish(const Arguments& aArguments, Output aOutput)
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
    PrintFaults(checked.mFaults, file.getValue(), aOutput);
    return ExitCode::Refused;
  }
  return RunPublish(
    { *address,
      *text,
      *version,
      author.isSet() ? author.getValue() : DefaultAuthor(),
      publication.isSet() ? publication.getValue() : NewPublicationId(),
      yes.getValue() },
    aOutput);
}

ExitCode
Show(const Arguments& aArguments, Output aOutput)
{
  CommandLine line("profile show",
                   "Prints the current profile document of the store, or that "
                   "of one version.",
                   aOutput.mOut,
                   aOutput.mErr);
  const auto& version =
    line.Value("at", "VERSION", "Version; by default the current one.", false);
  const auto& admin = line.Admin();
  const auto& inForce =
    line.Switch("in-force", "Print the profiles in force on the node instead.");
  const auto& json = line.Switch("json", "Print JSON.");
  if (const auto code = line.Parse(aArguments)) {
    return *code;
  }
  aOutput.mJson = json.getValue();
  const auto address = line.AddressOf(admin);
  if (!address || (version.isSet() && !line.NumberOf(version))) {
    return ExitCode::WrongUsage;
  }
  const std::string path = inForce.getValue() ? "/profiles"
                           : version.isSet()
                             ? "/profiles/versions/" + version.getValue()
                             : "/profiles/current";
  const auto body = Fetch(*address, path, aOutput);
  if (!body) {
    return body.error();
  }
  if (aOutput.mJson) {
    aOutput.mOut << body->serialize() << "\n";
    return ExitCode::Ok;
  }
  // A comment, so that the output is itself a document to edit and publish.
  aOutput.mOut << fmt::format("# version {}, published by {} at {}\n",
                              body->at("version").serialize(),
                              body->at("author").as_string(),
                              body->at("time").as_string())
               << body->at("document").as_string();
  return ExitCode::Ok;
}

ExitCode
History(const Arguments& aArguments, Output aOutput)
{
  CommandLine line("profile history",
                   "Lists published versions, latest first.",
                   aOutput.mOut,
                   aOutput.mErr);
  const auto& admin = line.Admin();
  const auto& limit =
    line.Value("limit", "N", "Most versions to list.", false, "20");
  const auto& before = line.Value(
    "before", "VERSION", "List only versions below this one.", false, "0");
  const auto& json = line.Switch("json", "Print JSON.");
  if (const auto code = line.Parse(aArguments)) {
    return *code;
  }
  aOutput.mJson = json.getValue();
  const auto address = line.AddressOf(admin);
  if (!address || !line.NumberOf(limit) || !line.NumberOf(before)) {
    return ExitCode::WrongUsage;
  }
  const auto body = Fetch(*address,
                          fmt::format("/profiles/versions?limit={}&before={}",
                                      limit.getValue(),
                                      before.getValue()),
                          aOutput);
  if (!body) {
    return body.error();
  }
  if (aOutput.mJson) {
    aOutput.mOut << body->serialize() << "\n";
    return ExitCode::Ok;
  }
  for (const value& version : body->at("versions").as_array()) {
    aOutput.mOut << fmt::format("{:>6}  {}  {}  {}\n",
                                version.at("version").serialize(),
                                version.at("time").as_string(),
                                version.at("publication").as_string(),
                                version.at("author").as_string());
  }
  return ExitCode::Ok;
}

ExitCode
Difference(const Arguments& aArguments, Output aOutput)
{
  CommandLine line("profile diff",
                   "Prints what differs between two versions.",
                   aOutput.mOut,
                   aOutput.mErr);
  const auto& from = line.Positional("FROM", "Version; 0 for the empty set.");
  const auto& to = line.Positional("TO", "Version.");
  const auto& admin = line.Admin();
  const auto& json = line.Switch("json", "Print JSON.");
  if (const auto code = line.Parse(aArguments)) {
    return *code;
  }
  aOutput.mJson = json.getValue();
  const auto address = line.AddressOf(admin);
  if (!address || !line.NumberOf(from) || !line.NumberOf(to)) {
    return ExitCode::WrongUsage;
  }
  const auto body = Fetch(
    *address,
    fmt::format("/profiles/diff?from={}&to={}", from.getValue(), to.getValue()),
    aOutput);
  if (!body) {
    return body.error();
  }
  if (aOutput.mJson) {
    aOutput.mOut << body->serialize() << "\n";
  } else {
    PrintChanges(body->at("changes"), aOutput.mOut);
  }
  return ExitCode::Ok;
}

/// One row of the table of subcommands.
struct Subcommand
{
  std::string_view mName;
  std::string_view mSummary;
  ExitCode (*mRun)(const Arguments&, Output);
};

constexpr std::array kSubcommands = {
  Subcommand{ "check", "list the faults of a profile document", Check },
  Subcommand{ "publish", "publish a profile document", Publish },
  Subcommand{ "show", "print a published profile document", Show },
  Subcommand{ "history", "list published versions", History },
  Subcommand{ "diff", "print what differs between two versions", Difference },
};

void
PrintUsage(std::ostream& aStream)
{
  aStream << "Usage: nutmegrock profile SUBCOMMAND ...\n\n";
  for (const Subcommand& subcommand : kSubcommands) {
    aStream << fmt::format(
      "  {:<8} {}\n", subcommand.mName, subcommand.mSummary);
  }
  aStream << "\nEach subcommand has --help.\n";
}

} // namespace

int
RunProfileCommand(const std::vector<std::string>& aArguments,
                  std::ostream& aOut,
                  std::ostream& aErr)
{
  const std::string name = aArguments.empty() ? "" : aArguments.front();
  if (name == "--help" || name == "-h") {
    PrintUsage(aOut);
    return static_cast<int>(ExitCode::Ok);
  }
  for (const Subcommand& subcommand : kSubcommands) {
    if (subcommand.mName == name) {
      const Output output{ aOut, aErr };
      try {
        return static_cast<int>(subcommand.mRun(
          { aArguments.begin() + 1, aArguments.end() }, output));
      } catch (const web::json::json_exception& exception) {
        return static_cast<int>(output.Fail(
          ExitCode::NotReachable,
          fmt::format("the answer is not from the administration API: {}",
                      exception.what())));
      }
    }
  }
  PrintUsage(aErr);
  return static_cast<int>(ExitCode::WrongUsage);
}

} // namespace nutmegrock::cli
