#include "cli/StatusCommand.h"

#include "cli/AdminClient.h"
#include "cli/CommandLine.h"

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
  CommandLine line("status", "Shows the mesh as one node sees it.", aOut, aErr);
  const auto& admin = line.Admin();
  const auto& json = line.Switch("json", "print the JSON of the node");
  if (const auto code = line.Parse(aArguments)) {
    return static_cast<int>(*code);
  }
  const auto address = line.AddressOf(admin);
  if (!address) {
    return static_cast<int>(ExitCode::WrongUsage);
  }
  const auto response = AdminClient::Make(*address).and_then(
    [](const AdminClient& aClient) { return aClient.Send("GET", "/status"); });
  if (!response || !response->IsSuccess()) {
    aErr << "nutmegrock status: " << address->ToString() << ": "
         << (response ? fmt::format("status {}", response->mStatus)
                      : response.error().mMessage)
         << "\n";
    return static_cast<int>(ExitCode::NotReachable);
  }
  aOut << (json.getValue() ? response->mBody.serialize() + "\n"
                           : StatusText(response->mBody));
  return static_cast<int>(ExitCode::Ok);
}

} // namespace nutmegrock::cli
