#include "Cases.h"

#include <atomic>

/**
 * One of three searchers is slow and drains while requests are at work on it
 * and one more waits for a connection to it. The one that waits must not reach
 * it later than drain_ms after the store has accepted that it drains.
 */
namespace review {

namespace {

constexpr int DrainMs = 3000;
/** How much longer than drain_ms the searcher serves before it exits. */
constexpr int ExtraServingMs = 500;
/** A VM's share of 77 connections among 15 VMs. */
constexpr int ConnectionLimit = 4;
constexpr int WorkMs = 275;
/** The slow searcher takes twelve times as long. */
constexpr int SlowWorkMs = 12 * WorkMs;
/** Lookups that are sent at once, four for each searcher, and later. */
constexpr int FirstLookups = 12;
constexpr int LaterLookups = 4;
constexpr int LaterIntervalMs = 250;
constexpr int DeadlineMs = 4000;
/** Longer than stability_window_ms, so that the VM is in touch. */
constexpr int SettleMs = 5000;

struct Searcher {
  Searcher(const std::string &Id, int WorkMs) : m_Id(Id), m_WorkMs(WorkMs) {
    m_Server = std::make_unique<Server>(
        "127.0.0.1", 0, [this](Connection &Peer) { serve(Peer); });
  }

  void serve(Connection &Peer) {
    Message Request;
    while (Peer.readHead(Request, 60000) && Peer.readBody(Request, 5000)) {
      const std::string Id = Request.header("x-request-id");
      if (Request.header("x-expect-instance") != m_Id || m_Ended) {
        Peer.reset();
        return;
      }
      const double ArrivedAt = Record::nowMs();
      Record::line("searcher " + m_Id + " begins id=" + Id);
      if (m_DrainAckAt > 0 && ArrivedAt - m_DrainAckAt > DrainMs) {
        ++m_LateArrivals;
        Record::line("WRONG: id=" + Id + " reaches " + m_Id + " " +
                     std::to_string(ArrivedAt - m_DrainAckAt) +
                     " ms after the store accepted that it drains");
      }
      const double EndAt = ArrivedAt + m_WorkMs;
      while (Record::nowMs() < EndAt && !m_Ended)
        sleepMs(5);
      if (m_Ended) {
        Peer.reset();
        return;
      }
      Peer.write(okAnswer(Request, "stamp-" + m_Id + "-" + Id, "order " + Id));
    }
  }

  std::string m_Id;
  int m_WorkMs;
  std::atomic<double> m_DrainAckAt{0};
  std::atomic<bool> m_Ended{false};
  std::atomic<int> m_LateArrivals{0};
  std::unique_ptr<Server> m_Server;
};

} // namespace

Verdict runDrainedQueue() {
  Store Platform;
  Searcher Slow("i-portal-1", SlowWorkMs);
  Searcher Second("i-portal-2", WorkMs);
  Searcher Third("i-portal-3", WorkMs);
  const auto Put = [&](const Searcher &Each, const std::string &State) {
    Platform.put("servers", Each.m_Id,
                 entryText("portal", Each.m_Server->address(), "nz-south-a",
                           State, 1785822630279));
    Record::line("store: " + Each.m_Id + " " + State);
  };
  Platform.put("config", "main",
               configText(1,
                          routeText("r-portal", "/portal/", "unsafe",
                                    DeadlineMs, 600, "\"service\":\"portal\""),
                          serviceText("portal", ConnectionLimit)));
  for (const Searcher *Each : {&Slow, &Second, &Third})
    Put(*Each, "ready");
  Vm Node("vm-1", "127.0.0.1", Platform.address(), "", freePorts(6));
  Node.start();
  if (!Node.waitUntilReady(10000))
    return CouldNotRun;
  sleepMs(SettleMs);
  std::atomic<int> Answered{0};
  std::vector<std::thread> Callers;
  const auto Send = [&](int Number) {
    Callers.emplace_back([&, Number] {
      const std::string Id = "q-" + std::to_string(Number);
      const auto Caller = connectTo(Node.host(), Node.port());
      if (!Caller)
        return;
      const double SentAt = Record::nowMs();
      const Message Answer =
          exchange(*Caller, "POST", "/portal/a", Id, DeadlineMs, "order");
      Answered += Answer.m_Status == 200;
      Record::line("caller id=" + Id +
                   " status=" + std::to_string(Answer.m_Status) + " after " +
                   std::to_string(Record::nowMs() - SentAt) + " ms");
    });
  };
  int Number = 0;
  while (Number < FirstLookups)
    Send(++Number);
  sleepMs(200);
  if (hasTrouble()) {
    Put(Slow, "draining");
    Slow.m_DrainAckAt = Record::nowMs();
  }
  while (Number < FirstLookups + LaterLookups) {
    sleepMs(LaterIntervalMs);
    Send(++Number);
  }
  if (hasTrouble()) {
    while (Record::nowMs() < Slow.m_DrainAckAt + DrainMs + ExtraServingMs)
      sleepMs(5);
    Platform.remove("servers", Slow.m_Id);
    Slow.m_Ended = true;
    Record::line("searcher " + Slow.m_Id + " exits");
  }
  for (std::thread &Each : Callers)
    Each.join();
  Record::line("answered=" + std::to_string(Answered) + " of " +
               std::to_string(Number) +
               ", late arrivals=" + std::to_string(Slow.m_LateArrivals));
  if (Answered < Number / 2)
    return CouldNotRun;
  return Slow.m_LateArrivals > 0 ? Broken : Held;
}

} // namespace review
