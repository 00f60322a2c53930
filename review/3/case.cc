// The open connections to the store go silent for good, without a reset, while
// new ones work. Later the config changes.
#include "standin/Harness.hh"

using namespace review;

namespace {

/// The bounds of the deployment, in seconds.
constexpr double kContactS = 3.0;
constexpr double kApplyS = 2.0;
/// DENIED: "5 + one in 500".
constexpr int kAllowedDenied = 5;

/// Passes connections on to the store. Silence() makes those that are open
/// silent for good: they stay open, and no more bytes pass.
class Proxy
{
public:
  Proxy(const Endpoint& aListen, const Endpoint& aStore)
    : mStore(aStore)
  {
    Serve(aListen, [this](int aFd) { Pass(aFd); });
  }

  void Silence() { ++mEpoch; }

private:
  void Pass(int aFd)
  {
    const int epoch = mEpoch;
    const int store = ConnectTo(mStore);
    bool open = store >= 0;
    while (open) {
      pollfd entries[] = { { aFd, POLLIN, 0 }, { store, POLLIN, 0 } };
      poll(entries, 2, 20);
      if (epoch != mEpoch) {
        // Nothing passes any more; ends when the node closes.
        char bytes[4096];
        ssize_t count = 1;
        while (count > 0) {
          count = recv(aFd, bytes, sizeof bytes, 0);
        }
        Record::Line("the node has closed a silent connection to the store");
        break;
      }
      for (int i = 0; i < 2 && open; ++i) {
        if (entries[i].revents != 0) {
          char bytes[65536];
          const ssize_t count = recv(entries[i].fd, bytes, sizeof bytes, 0);
          open = count > 0 && SendAll(i == 0 ? store : aFd,
                                      std::string(bytes, std::size_t(count)));
        }
      }
    }
    close(store);
  }

  const Endpoint mStore;
  std::atomic<int> mEpoch{ 0 };
};

} // namespace

int
main()
{
  Record::Open("review/3/record.txt");
  Deployment all;
  const Endpoint address = all.mGround.ProxyAddress();
  Proxy proxy(address, all.mGround.StoreAddress());
  const std::vector<std::string> services = { "huvo11a", "wuno96b" };
  std::vector<RouteText> routes = {
    { "r-ctnfzs9", "hulo84.example", "/leny950/", "safe", "huvo11a" },
    { "r-moved", "hulo84.example", "/moved/", "safe", "huvo11a" },
  };
  all.mStore->PutConfig(ConfigText(7, services, routes));
  for (const char* zone : { "khomas-a", "erongo-a" }) {
    all.Add("huvo11a", zone, 32, address.Text());
    all.Add("wuno96b", zone, 32, address.Text());
  }
  const auto text = [](const std::string& aPath, const std::string& aId) {
    return RequestText("GET", "hulo84.example", aPath, aId, 5000);
  };
  WaitForService(all.mNodes, [&](const std::string& aId) {
    return text("/leny950/2f", aId);
  });
  SleepUntil(Now() + 3.5);
  if (HasTrouble()) {
    Record::Line("the open connections to the store go silent; new ones work");
    proxy.Silence();
  }
  // All machines are in touch again, and the store is stable.
  SleepUntil(Now() + kContactS + 0.5);
  routes[1].mService = "wuno96b";
  routes.push_back(
    { "r-added", "hulo84.example", "/added/", "safe", "wuno96b" });
  all.mStore->PutConfig(ConfigText(9, services, routes));
  const double acknowledged = Now();
  Record::Line("the store acknowledges config r9: adds /added/, moves /moved/");

  // Requests sent later than configApplyMs after the acknowledgement.
  const double from = acknowledged + kApplyS + 0.2;
  SleepUntil(from);
  int number = 0;
  int sent = 0;
  int denied = 0;
  while (Now() < from + 10) {
    for (std::size_t n = 0; n < all.mNodes.size(); ++n) {
      for (const std::string path : { "/added/1", "/moved/1" }) {
        const std::string id = "q-" + std::to_string(++number);
        Record::Line("client of %s sends %s %s",
                     all.mNodes[n]->MachineOf().mIp.c_str(),
                     id.c_str(),
                     path.c_str());
        const int status = Ask(all.Outbound(n), text(path, id), 5);
        Record::Line("client gets %s %s: %d", id.c_str(), path.c_str(), status);
        ++sent;
        denied += status == 404 ? 1 : 0;
      }
    }
    std::this_thread::sleep_for(200ms);
  }
  int old_service = 0;
  for (const auto& backend : all.mBackends) {
    for (const auto& run : backend->Runs()) {
      old_service += run.mAt > from && run.mTarget == "/moved/1" &&
                         backend->SettingsOf().mService == "huvo11a"
                       ? 1
                       : 0;
    }
  }
  Record::Line("sent %d; refused with 404 though r9 has the route: %d, allowed "
               "%d; run by the old service: %d",
               sent,
               denied,
               kAllowedDenied + sent / 500,
               old_service);
  for (const auto& node : all.mNodes) {
    if (node->HasEnded()) {
      CannotRun("a node has ended");
    }
  }
  Finish(denied > kAllowedDenied + sent / 500 || old_service > 0 ? 1 : 0);
}
