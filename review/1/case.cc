// A ping with bytes that cannot be read, from another writer, while clients on
// kept connections wait for answers.
#include "standin/Harness.hh"

using namespace review;

namespace {

constexpr int kClients = 12;
/// LOST: "more than three times".
constexpr int kAllowed = 3;

struct Result
{
  bool mReached = false;
  ReadEnd mEnd = ReadEnd::Timeout;
};

} // namespace

int
main()
{
  Record::Open("review/1/record.txt");
  Deployment all;
  all.mStore->PutConfig(ConfigText(
    7,
    { "huvo11a", "wuno96b" },
    { { "r-89anu6w", "jepu9.example", "/puka111/", "unsafe", "wuno96b" },
      { "r-ctnfzs9", "hulo84.example", "/leny950/", "safe", "huvo11a" } }));
  all.Add("huvo11a", "khomas-a");
  all.Add("wuno96b", "khomas-a");
  all.Add("wuno96b", "erongo-a");
  WaitForService(all.mNodes, [](const std::string& aId) {
    return RequestText("POST", "jepu9.example", "/puka111/2f", aId, 5000, "x");
  });
  for (const auto& backend : all.mBackends) {
    backend->mJob = [](const Message&) { return Job{ 800, 400 }; };
  }
  // Every machine runs calmly for longer than contactMs.
  SleepUntil(Now() + 3.5);

  // Kept connections: each has carried a request before.
  std::vector<int> connections;
  std::vector<std::unique_ptr<Reader>> readers;
  for (int i = 0; i < kClients; ++i) {
    connections.push_back(ConnectTo(all.Outbound(0)));
    readers.push_back(std::make_unique<Reader>(connections.back()));
  }
  int lost = 0;
  for (const std::string round : { "first", "second" }) {
    for (int i = 0; i < kClients; ++i) {
      const std::string id = round + "-" + std::to_string(i);
      Record::Line("client sends %s", id.c_str());
      SendAll(
        connections[i],
        RequestText("POST", "jepu9.example", "/puka111/2f", id, 5000, "x"));
    }
    if (round == "second") {
      SleepUntil(Now() + 0.4);
      if (HasTrouble()) {
        // As the page's example, but the id is not encoded: the byte 0xe9.
        const Endpoint control = all.mNodes[0]->MachineOf().Control();
        std::string ping = all.mBackends[0]->HeartbeatText(999999);
        const std::string of = "&of=" + all.mBackends[0]->SettingsOf().mId;
        ping.replace(ping.find(of), of.size(), "&of=i-caf\xe9");
        Record::Line("another writer sends a ping whose id is i-caf<0xe9>");
        Record::Line("its answer: %d", Ask(control, ping));
      }
    }
    for (int i = 0; i < kClients; ++i) {
      Message answer;
      const ReadEnd end = readers[i]->Read(answer, Now() + 6);
      const std::string id = round + "-" + std::to_string(i);
      bool reached = false;
      for (std::size_t b = 1; b < 3; ++b) {
        for (const auto& run : all.mBackends[b]->Runs()) {
          reached = reached || run.mRequestId == id;
        }
      }
      Record::Line("client gets %s: %s status %s, at a backend: %s",
                   id.c_str(),
                   NameOf(end),
                   answer.mSecond.c_str(),
                   reached ? "yes" : "no");
      if (round == "first" &&
          (end != ReadEnd::Complete || answer.Status() != 200)) {
        CannotRun("the first requests are not served");
      }
      if (end != ReadEnd::Complete && reached) {
        ++lost;
      }
    }
  }
  const bool ended = all.mNodes[0]->HasEnded();
  Record::Line(
    "requests that reached a sound backend and whose kept connection "
    "was closed without an answer: %d, allowed %d; the node has "
    "ended by itself: %s",
    lost,
    kAllowed,
    ended ? "yes" : "no");
  Finish(lost > kAllowed ? 1 : 0);
}
