#include "cli/StatusCommand.h"

#include "cli/ParseArguments.h"
#include "cli/ProfileCommand.h"
#include "core/Address.h"
#include "platform/http/StoreClient.h"

#include <map>
#include <spdlog/fmt/fmt.h>

namespace nutmegrock::cli {

namespace {

using web::json::value;

std::string
TextOf(const value& aObject, const char* aName)
{
  return aObject.has_string_field(aName) ? aObject.at(aName).as_string() : "?";
}

std::int64_t
NumberOf(const value& aObject, const char* aName)
{
  return aObject.has_integer_field(aName)
           ? aObject.at(aName).as_number().to_int64()
           : 0;
}

std::string
ServiceLine(const std::string& aName, const value& aMembers)
{
  std::map<std::string, int> states;
  std::int64_t slots = 0;
  for (const value& member : aMembers.as_array()) {
    ++states[TextOf(member, "state")];
    slots += NumberOf(member, "slots");
  }
  std::string text;
  for (const auto& [state, count] : states) {
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ", count, state);
  }
  return fmt::format("  {:<20.20} {:>7} slots  {}\n", aName, slots, text);
}

} // namespace

std::string
StatusText(const value& aStatus)
{
  const value empty = value::object();
  const value& level =
    aStatus.has_object_field("level") ? aStatus.at("level") : empty;
  std::string text =
    fmt::format("{} in {}, {}, profiles version {}\n"
                "limit {}, in flight {}, waiting {}, ejected {}\n"
                "admits importance {} from cohort {}\n"
                "{} members:\n",
                TextOf(aStatus, "service"),
                TextOf(aStatus, "availability_zone"),
                TextOf(aStatus, "state"),
                NumberOf(aStatus, "profile_version"),
                NumberOf(aStatus, "limit"),
                NumberOf(aStatus, "in_flight"),
                NumberOf(aStatus, "waiting"),
                NumberOf(aStatus, "ejected"),
                TextOf(level, "importance"),
                NumberOf(level, "cohort"),
                NumberOf(aStatus, "members"));
  if (aStatus.has_object_field("services")) {
    for (const auto& [name, members] : aStatus.at("services").as_object()) {
      text += ServiceLine(name, members);
    }
  }
  return text;
}

int
RunStatusCommand(const std::vector<std::string>& aArguments,
                 std::ostream& aOut,
                 std::ostream& aErr)
{
  TCLAP::CmdLine command(
    "Shows the mesh as one node sees it.", ' ', NUTMEGROCK_VERSION);
  TCLAP::ValueArg<std::string> admin("a",
                                     "admin",
                                     "administration address of a node",
                                     true,
                                     "",
                                     "IP:PORT",
                                     command);
  TCLAP::SwitchArg json("j", "json", "print the JSON of the node", command);
  if (const auto code =
        ParseArguments(command, "nutmegrock status", aArguments, aOut, aErr)) {
    return *code;
  }
  const auto address = core::Address::Parse(admin.getValue());
  if (!address) {
    aErr << "nutmegrock status: --admin: " << address.error().mMessage << "\n";
    return static_cast<int>(ExitCode::WrongUsage);
  }
  platform::http::StoreSettings settings;
  settings.mUrl = "http://" + address->Text();
  const auto answer = platform::http::StoreClient::Make(settings).and_then(
    [](const platform::http::StoreClient& aClient) {
      return aClient.Send({ "GET", "/v1/status", {}, {} });
    });
  if (!answer || answer->mStatus != 200) {
    aErr << "nutmegrock status: " << address->Text() << ": "
         << (answer ? fmt::format("status {}", answer->mStatus)
                    : answer.error().mMessage)
         << "\n";
    return static_cast<int>(ExitCode::NotReachable);
  }
  std::error_code code;
  const value status = value::parse(answer->mBody, code);
  aOut << (json.getValue() || code ? answer->mBody + "\n" : StatusText(status));
  return static_cast<int>(ExitCode::Ok);
}

} // namespace nutmegrock::cli
