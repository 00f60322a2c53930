#include "cli/ProfileCommand.h"

#include "cli/CommandLine.h"
#include "cli/CommandOutput.h"
#include "cli/PublishCommand.h"
#include "profiles/ProfileDocument.h"

#include <array>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::cli {

namespace {

using web::json::value;
using Arguments = std::vector<std::string>;

ExitCode
Check(const Arguments& aArguments, CommandOutput aOutput)
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
  aOutput.PrintFaults(checked.mFaults, file.getValue());
  return checked.mFaults.empty() ? ExitCode::Ok : ExitCode::Refused;
}

ExitCode
Show(const Arguments& aArguments, CommandOutput aOutput)
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
  // A YAML comment, so that the output is a document to edit and publish.
  aOutput.mOut << fmt::format("# version {}, published by {} at {}\n",
                              body->at("version").serialize(),
                              body->at("author").as_string(),
                              body->at("time").as_string())
               << body->at("document").as_string();
  return ExitCode::Ok;
}

ExitCode
History(const Arguments& aArguments, CommandOutput aOutput)
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
Difference(const Arguments& aArguments, CommandOutput aOutput)
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
    aOutput.PrintChanges(body->at("changes"));
  }
  return ExitCode::Ok;
}

/// An entry of the subcommand table.
struct Subcommand
{
  std::string_view mName;
  std::string_view mSummary;
  ExitCode (*mRun)(const Arguments&, CommandOutput);
};

constexpr std::array kSubcommands = {
  Subcommand{ "check", "list the faults of a profile document", Check },
  Subcommand{ "publish", "publish a profile document", RunPublishCommand },
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
      const CommandOutput output{ aOut, aErr };
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
