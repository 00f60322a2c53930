// One ping of another writer with bytes that cannot be read reaches a node
// while requests on kept connections are at work at a sound backend server.
#include "standin-2/Harness.hh"

using namespace review;

int
main(int, char** aArguments)
{
  Site site(aArguments[1]);
  LimitTime(site, 100);
  if (!site.Open(2)) {
    Finish(site, kCannotRun, "no free ports");
  }
  site.GetStore().Write(
    "op",
    "config",
    Config(3, { { "/stock/", "stock" }, { "/reserve/", "till", "unsafe" } }));
  Machine& till = site.Add("till", "sigulda");
  Machine& stock = site.Add("stock", "jelgava");
  const auto work = [](const Message& aRequest) {
    Backend::Reply reply;
    reply.mBody = "done " + aRequest.Header("nutmegrock-request-id");
    reply.mSeconds =
      aRequest.mSecond.find("/slow") != std::string::npos ? 1.2 : 0.02;
    return reply;
  };
  Backend till_server(till, 50, work);
  Backend stock_server(stock, 50, work);
  if (!till_server.IsGood() || !stock_server.IsGood()) {
    Finish(site, kCannotRun, "no free ports");
  }
  till.Start();
  stock.Start();
  if (!site.WaitForService({ "/stock/a", "/reserve/a" }, 30)) {
    Finish(site, kCannotRun, "the nodes do not serve");
  }
  // contactMs and more without any disturbance.
  Sleep(4);

  constexpr int kClients = 8;
  std::atomic<int> lost{ 0 };
  std::atomic<int> good{ 0 };
  std::atomic<int> waiting{ 0 };
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      Conn connection;
      connection.Open(till.mIp, site.mPorts.mOutbound);
      for (int round = 0; round < 2; ++round) {
        const std::string id =
          "c" + std::to_string(client) + "-" + std::to_string(round);
        const std::string path = round == 0 ? "/reserve/a" : "/reserve/slow";
        gRecord->Line("request  id=%s POST %s", id.c_str(), path.c_str());
        connection.Send(Request("POST", path, id, 6000, "", "pallet"));
        waiting += round;
        Message answer;
        const End end = connection.Read(answer, Now() + 6);
        gRecord->Line("answer   id=%s %s status=%d",
                      id.c_str(),
                      NameOf(end),
                      answer.Status());
        if (round == 1) {
          (end == End::Complete ? good : lost) += 1;
        }
      }
    });
  }
  while (waiting < kClients) {
    Sleep(0.02);
  }
  Sleep(0.5);
  if (HasTrouble()) {
    // A ping as any other, but the text of its version is no valid text: the
    // first half of a surrogate pair is followed by a letter.
    std::string ping = till_server.Heartbeat();
    const std::string from = "\"v1\"";
    ping.replace(ping.find(from), from.size(), "\"\\ud800\\u0041\"");
    gRecord->Line("ping     of another writer: %s", ping.c_str());
    const int status = till_server.Notify("instances.heartbeat", ping);
    gRecord->Line("ping     answered with %d (0: no answer)", status);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  Sleep(0.3);
  std::string how;
  const bool ended = till.HasEnded(how);
  gRecord->Line("process  node-1 %s",
                ended ? ("ended: " + how).c_str() : "runs");
  if (ended) {
    gRecord->Line("log      %s", till.LastLogLines(200).c_str());
  }
  const std::string text = std::to_string(lost) + " of " +
                           std::to_string(kClients) +
                           " requests at work on kept connections got no "
                           "answer; the node " +
                           (ended ? "ended by itself, " + how : "runs");
  Finish(site, lost > 3 || ended ? kBroken : kHeld, text);
}
