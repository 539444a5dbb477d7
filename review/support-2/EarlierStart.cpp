#include "Cases.h"

#include <atomic>

/**
 * A searcher starts again under its id, and the time of day of its machine has
 * been set back meanwhile, so that it names an earlier start. What it reports
 * later must hold: that it drains, and when it has gone.
 */
namespace review {

namespace {

constexpr int DrainMs = 3000;
constexpr int ExtraServingMs = 1500;
constexpr int StepBackMs = 2000;
constexpr int SettleMs = 5000;
constexpr std::uint64_t FirstStart = 1785822630279;

} // namespace

Verdict runEarlierStart() {
  Store Platform;
  std::atomic<double> DrainAckAt{0};
  std::atomic<int> Late{0};
  std::atomic<bool> Ended{false};
  const auto Serve = [&](const std::string &Id, Connection &Peer) {
    Message Request;
    while (Peer.readHead(Request, 60000) && Peer.readBody(Request, 5000)) {
      const std::string RequestId = Request.header("x-request-id");
      if (Ended && Id == "i-portal-1") {
        Peer.reset();
        return;
      }
      if (Request.header("x-expect-instance") != Id) {
        Peer.write("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (Id == "i-portal-1" && DrainAckAt > 0 &&
          Record::nowMs() - DrainAckAt > DrainMs) {
        ++Late;
        Record::line("WRONG: id=" + RequestId + " reaches " + Id + " " +
                     std::to_string(Record::nowMs() - DrainAckAt) +
                     " ms after the store accepted that it drains");
      }
      sleepMs(20);
      Peer.write(okAnswer(Request, "stamp-" + Id + "-" + RequestId, "order"));
    }
  };
  auto Old = std::make_unique<Server>(
      "127.0.0.1", 0, [&](Connection &Peer) { Serve("i-portal-1", Peer); });
  Server Other("127.0.0.1", 0,
               [&](Connection &Peer) { Serve("i-portal-2", Peer); });
  const std::string OldAddress = Old->address();
  const auto PutOld = [&](const std::string &State, std::uint64_t Born) {
    Platform.put("servers", "i-portal-1",
                 entryText("portal", OldAddress, "nz-south-a", State, Born));
  };
  Platform.put("config", "main",
               configText(1,
                          routeText("r-portal", "/portal/", "unsafe", 4000, 600,
                                    "\"service\":\"portal\""),
                          serviceText("portal", 214)));
  PutOld("ready", FirstStart);
  Platform.put("servers", "i-portal-2",
               entryText("portal", Other.address(), "nz-south-a", "ready",
                         FirstStart));
  Vm Node("vm-1", "127.0.0.1", Platform.address(), "", freePorts(6));
  Node.start();
  if (!Node.waitUntilReady(10000))
    return CouldNotRun;
  sleepMs(SettleMs);
  // The searcher starts again within a second; its clock was set back by 2 s.
  const std::uint64_t SecondStart =
      hasTrouble() ? FirstStart - StepBackMs + 1000 : FirstStart + 1000;
  PutOld("ready", SecondStart);
  Record::line("store: i-portal-1 started again");
  std::atomic<bool> Stop{false};
  std::atomic<int> Answered{0};
  std::atomic<int> Failed{0};
  std::thread Caller([&] {
    for (int I = 0; !Stop; ++I) {
      const auto Peer = connectTo(Node.host(), Node.port());
      if (!Peer)
        break;
      const Message Answer = exchange(*Peer, "POST", "/portal/a",
                                      "q-" + std::to_string(I), 4000, "order");
      ++(Answer.m_Status == 200 ? Answered : Failed);
      if (Answer.m_Status != 200)
        Record::line("caller id=q-" + std::to_string(I) +
                     " status=" + std::to_string(Answer.m_Status));
    }
  });
  sleepMs(2000);
  PutOld("draining", SecondStart);
  DrainAckAt = Record::nowMs();
  Record::line("store: i-portal-1 draining");
  sleepMs(DrainMs + ExtraServingMs);
  Platform.remove("servers", "i-portal-1");
  Ended = true;
  Old.reset();
  Record::line("i-portal-1 exits");
  sleepMs(1000);
  Stop = true;
  Caller.join();
  Record::line("answered=" + std::to_string(Answered) +
               " failed=" + std::to_string(Failed) +
               " late arrivals=" + std::to_string(Late));
  return Late > 0 ? Broken : Held;
}

} // namespace review
