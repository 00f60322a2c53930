// A backend server deregisters, and its node is killed and starts again. A ping
// that the backend server had sent before arrives late.
#include "standin/Harness.hh"

using namespace review;

namespace {

/// The bounds of the deployment, in seconds.
constexpr double kDrainS = 2.0;
constexpr double kContactS = 3.0;
/// How late the ping is, in seconds.
constexpr double kPingDelayS = 2.5;

std::string
Text(const std::string& aId)
{
  return RequestText("GET", "hulo84.example", "/leny950/2f", aId, 5000);
}

} // namespace

int
main()
{
  Record::Open("review/5/record.txt");
  Deployment all;
  all.mStore->PutConfig(ConfigText(
    7,
    { "huvo11a", "wuno96b" },
    { { "r-ctnfzs9", "hulo84.example", "/leny950/", "safe", "huvo11a" } }));
  all.Add("wuno96b", "khomas-a");
  all.Add("huvo11a", "khomas-a");
  all.Add("huvo11a", "khomas-a");
  WaitForService(all.mNodes, Text);
  SleepUntil(Now() + 3.5);
  Backend& backend = *all.mBackends[2];
  Node& node = *all.mNodes[2];
  const Endpoint control = node.MachineOf().Control();

  backend.mBeats = false;
  const std::string ping = backend.HeartbeatText(backend.NextSequence());
  const double sent = Now();
  Record::Line("%s sends a ping, state ready, that is delayed",
               backend.SettingsOf().mId.c_str());
  SleepUntil(sent + 0.1);
  // The backend leaves, without saying "draining" before, and serves on for
  // drainMs "and a little longer (at times many seconds)". Its health check
  // answers 503 from now on.
  backend.mLeaving = true;
  const int status = Ask(control, backend.LeaveText());
  const double acknowledged = Now();
  Record::Line(
    "deregister of %s: %d", backend.SettingsOf().mId.c_str(), status);
  if (status != 200) {
    CannotRun("deregister is not acknowledged");
  }
  double restarted = acknowledged;
  if (HasTrouble()) {
    SleepUntil(acknowledged + 0.2);
    node.Signal(SIGKILL);
    while (!node.HasEnded()) {
      std::this_thread::sleep_for(5ms);
    }
    std::this_thread::sleep_for(300ms);
    node.Start();
    restarted = Now();
    const double until = Now() + 10;
    while (!node.IsReady()) {
      if (Now() > until) {
        CannotRun("the node does not start again");
      }
      std::this_thread::sleep_for(10ms);
    }
    Record::Line("the restarted node says that it is ready");
  }
  SleepUntil(sent + kPingDelayS);
  Record::Line("the delayed ping arrives: %d", Ask(control, ping));

  // Counted are requests later than drainMs, and when all machines are in
  // touch again.
  const double from =
    std::max(acknowledged + kDrainS, restarted + kContactS) + 0.3;
  int number = 0;
  int served = 0;
  while (Now() < from + 4) {
    const std::string id = "q-" + std::to_string(++number);
    Record::Line("client sends %s", id.c_str());
    const int got = Ask(all.Outbound(0), Text(id), 6);
    served += got == 200 ? 1 : 0;
    Record::Line("client gets %s: %d", id.c_str(), got);
    std::this_thread::sleep_for(10ms);
  }
  int late = 0;
  for (const auto& run : backend.Runs()) {
    late += run.mAt > from ? 1 : 0;
  }
  Record::Line("requests sent %d, answered with 200: %d", number, served);
  Record::Line("runs at %s later than %.1f s after its acknowledged leave: %d",
               backend.SettingsOf().mId.c_str(),
               from - acknowledged,
               late);
  if (served == 0) {
    CannotRun("no request was served");
  }
  Finish(late > 0 ? 1 : 0);
}
