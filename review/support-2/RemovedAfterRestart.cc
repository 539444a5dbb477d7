#include "Cases.hh"

#include <atomic>
#include <csignal>

/**
 * A searcher leaves without reporting that it drains, just after a VM was
 * restarted. The VM must send it nothing later than drain_ms after the store
 * has removed its entry, from the time at which the VM is in touch.
 */
namespace review {

namespace {

constexpr int DrainMs = 3000;
constexpr int StabilityWindowMs = 4000;
/** How much longer than drain_ms the searcher serves. */
constexpr int ExtraServingMs = 2000;
constexpr int RemovalAfterStartMs = 500;
/** The other searcher's pause, counted from the start of the VM. */
constexpr int PauseBeginMs = 4050;
constexpr int PauseMs = 200;
constexpr int WorkMs = 20;
constexpr int Callers = 4;

} // namespace

Verdict runRemovedAfterRestart() {
  Store Platform;
  std::atomic<double> RemovedAt{0};
  std::atomic<double> PauseAt{0};
  std::atomic<double> InTouchAt{0};
  std::atomic<int> Late{0};
  const auto Serve = [&](const std::string &Id, Connection &Peer) {
    Message Request;
    while (Peer.readHead(Request, 60000) && Peer.readBody(Request, 5000)) {
      const std::string RequestId = Request.header("x-request-id");
      if (Request.header("x-expect-instance") != Id) {
        Peer.write("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      const double Now = Record::nowMs();
      if (Id == "i-desk-1" && RemovedAt > 0 && Now - RemovedAt > DrainMs &&
          Now > InTouchAt) {
        ++Late;
        Record::line("WRONG: id=" + RequestId + " reaches " + Id + " " +
                     std::to_string(Now - RemovedAt) +
                     " ms after the store removed its entry, " +
                     std::to_string(Now - InTouchAt) +
                     " ms after the VM is in touch");
      }
      sleepMs(WorkMs);
      if (Id == "i-desk-2" && PauseAt > 0)
        while (Record::nowMs() > PauseAt && Record::nowMs() < PauseAt + PauseMs)
          sleepMs(2);
      Peer.write(okAnswer(Request, "stamp-" + Id + "-" + RequestId,
                          "0123456789abcdef"));
    }
  };
  Server First("127.0.0.1", 0,
               [&](Connection &Peer) { Serve("i-desk-1", Peer); });
  Server Second("127.0.0.1", 0,
                [&](Connection &Peer) { Serve("i-desk-2", Peer); });
  Platform.put("config", "main",
               configText(1,
                          routeText("r-desk", "/desk/", "safe", 800, 150,
                                    "\"service\":\"desk\""),
                          serviceText("desk", 77)));
  const auto Put = [&](const std::string &Id, const Server &Each) {
    Platform.put("servers", Id,
                 entryText("desk", Each.address(), "nz-south-a", "ready",
                           1785822630279));
  };
  Put("i-desk-1", First);
  Put("i-desk-2", Second);
  Vm Node("vm-1", "127.0.0.1", Platform.address(), "", freePorts(6));
  Node.start();
  if (!Node.waitUntilReady(10000))
    return CouldNotRun;
  sleepMs(StabilityWindowMs);
  if (hasTrouble()) {
    Record::line("SIGTERM");
    Node.signal(SIGTERM);
    if (!Node.waitForExit(6000))
      return CouldNotRun;
    Node.start();
  }
  const double StartedAt = Record::nowMs();
  Record::line(hasTrouble() ? "VM started again" : "VM runs on");
  InTouchAt = hasTrouble() ? StartedAt + StabilityWindowMs : StartedAt;
  if (!Node.waitUntilReady(RemovalAfterStartMs))
    return CouldNotRun;
  std::atomic<bool> Stop{false};
  std::atomic<int> Answered{0};
  std::atomic<int> Failed{0};
  std::vector<std::thread> Threads;
  for (int I = 0; I < Callers; ++I)
    Threads.emplace_back([&, I] {
      for (int K = 0; !Stop; ++K) {
        const auto Peer = connectTo(Node.host(), Node.port());
        const Message Answer =
            Peer ? exchange(*Peer, "GET", "/desk/a",
                            "q-" + std::to_string(I) + "-" + std::to_string(K),
                            800)
                 : Message{};
        ++(Answer.m_Status == 200 ? Answered : Failed);
        sleepMs(10);
      }
    });
  const auto WaitUntil = [&](int Ms) {
    while (Record::nowMs() < StartedAt + Ms)
      sleepMs(1);
  };
  WaitUntil(RemovalAfterStartMs);
  Platform.remove("servers", "i-desk-1");
  RemovedAt = Record::nowMs();
  Record::line("store: i-desk-1 removed");
  WaitUntil(PauseBeginMs);
  PauseAt = Record::nowMs();
  Record::line("i-desk-2 pauses for " + std::to_string(PauseMs) + " ms");
  WaitUntil(RemovalAfterStartMs + DrainMs + ExtraServingMs);
  Stop = true;
  for (std::thread &Each : Threads)
    Each.join();
  Record::line("answered=" + std::to_string(Answered) +
               " failed=" + std::to_string(Failed) +
               " late arrivals=" + std::to_string(Late));
  if (Answered < 100)
    return CouldNotRun;
  return Late > 0 ? Broken : Held;
}

} // namespace review
