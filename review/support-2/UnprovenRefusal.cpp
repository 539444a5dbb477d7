#include "Cases.h"

#include <atomic>
#include <set>

/**
 * One of seven searchers fails some of the requests that it runs, with status
 * 503 and its signature, but without X-Not-Executed. The caller of a request
 * that may run only once must not be told 503, which promises that it has not
 * run.
 */
namespace review {

namespace {

constexpr int Callers = 8;
constexpr int RequestsPerCaller = 60;
constexpr int WorkMs = 10;
constexpr int Searchers = 7;
/** The first searcher (a share of 0.15) fails 0.4 of its requests. */
constexpr int FailuresOfTen = 4;

} // namespace

Verdict runUnprovenRefusal() {
  Store Platform;
  std::mutex Mutex;
  std::set<std::string> Ran;
  int Count = 0;
  const auto Serve = [&](int Number, Connection &Peer) {
    Message Request;
    while (Peer.readHead(Request, 60000) && Peer.readBody(Request, 5000)) {
      const std::string Id = Request.header("x-request-id");
      bool Fails = false;
      {
        const std::lock_guard Lock(Mutex);
        Ran.insert(Id);
        Fails = hasTrouble() && Number == 0 && Count++ % 10 < FailuresOfTen;
      }
      sleepMs(WorkMs);
      if (!Fails) {
        Peer.write(okAnswer(Request, "stamp-" + Id, "order"));
        continue;
      }
      Record::line("searcher ran id=" + Id + " and answers 503");
      Peer.write("HTTP/1.1 503 X\r\nX-Request-Id: " + Id +
                 "\r\nX-Server-Stamp: stamp-" + Id +
                 "\r\nContent-Length: 6\r\n\r\nfailed");
    }
  };
  Platform.put("config", "main",
               configText(1,
                          routeText("r-portal", "/portal/", "unsafe", 4000, 600,
                                    "\"service\":\"portal\""),
                          serviceText("portal", 214)));
  std::vector<std::unique_ptr<Server>> Servers;
  for (int I = 0; I < Searchers; ++I) {
    Servers.push_back(std::make_unique<Server>(
        "127.0.0.1", 0, [&Serve, I](Connection &Peer) { Serve(I, Peer); }));
    Platform.put("servers", "i-portal-" + std::to_string(I + 1),
                 entryText("portal", Servers.back()->address(), "nz-south-a",
                           "ready", 1785822630279));
  }
  Vm Node("vm-1", "127.0.0.1", Platform.address(), "", freePorts(6));
  Node.start();
  if (!Node.waitUntilReady(10000))
    return CouldNotRun;
  std::atomic<int> Wrong{0};
  std::atomic<int> Answered{0};
  const auto Call = [&](const std::string &Id) {
    const auto Peer = connectTo(Node.host(), Node.port());
    if (!Peer)
      return;
    const Message Answer =
        exchange(*Peer, "POST", "/portal/a", Id, 4000, "order");
    Answered += Answer.m_Status == 200;
    const std::lock_guard Lock(Mutex);
    if (Answer.m_Status == 503 && Ran.count(Id)) {
      ++Wrong;
      Record::line("WRONG: caller id=" + Id + " gets 503, and it has run");
    } else if (Answer.m_Status != 200) {
      Record::line("caller id=" + Id +
                   " status=" + std::to_string(Answer.m_Status));
    }
  };
  std::vector<std::thread> Threads;
  for (int I = 0; I < Callers; ++I)
    Threads.emplace_back([&, I] {
      for (int K = 0; K < RequestsPerCaller; ++K)
        Call("q-" + std::to_string(I) + "-" + std::to_string(K));
    });
  for (std::thread &Each : Threads)
    Each.join();
  constexpr int Requests = Callers * RequestsPerCaller;
  Record::line("answered=" + std::to_string(Answered) + " of " +
               std::to_string(Requests) +
               " refused though run=" + std::to_string(Wrong));
  if (Answered < Requests / 2)
    return CouldNotRun;
  return Wrong > 0 ? Broken : Held;
}

} // namespace review
