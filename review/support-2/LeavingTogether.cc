#include "Cases.hh"

#include <algorithm>
#include <atomic>
#include <set>

/**
 * One searcher of each of several services is slow, drains and leaves: it turns
 * away the requests that it hasn't begun, names a time for which it wants no
 * more with the last of them, and its entry is removed. The configuration grows
 * at that moment. The VM must answer all requests and go on to run.
 */
namespace review {

namespace {

constexpr int Services = 4;
constexpr int SearchersEach = 7; ///< One of them leaves: a share of 0.15.
/** A VM's share of 77 connections among 15 VMs; it uses three of them. */
constexpr int ConnectionLimit = 4;
constexpr int ConnectionsUsed = 3;
/** At each searcher three are sent and two wait for a connection. */
constexpr int LookupsEach = 5 * SearchersEach;
constexpr int DeadlineMs = 4000;
constexpr int DrainMs = 3000;
constexpr int ExtraServingMs = 200;
constexpr int WorkMs = 50;
constexpr int SettleMs = 5000;
constexpr int Rounds = 16;
/** Deployments of one VM each that are played side by side. The order in which
 * a VM handles its sockets is its own. */
constexpr int Deployments = 3;
constexpr int AddedRoutes = 350; ///< The site's largest.
constexpr std::chrono::microseconds ConfigLead{1500};
constexpr int SteadyCallers = 24;
constexpr int SteadyIntervalMs = 20;

/** The requests that sound searchers began to run. */
class BegunRequests {
public:
  void add(const std::string &Id) {
    const std::lock_guard Lock(m_Mutex);
    m_Ids.insert(Id);
  }
  bool contains(const std::string &Id) {
    const std::lock_guard Lock(m_Mutex);
    return m_Ids.count(Id) > 0;
  }

private:
  std::mutex m_Mutex;
  std::set<std::string> m_Ids;
};

BegunRequests Begun;

/** Set when a VM has ended by itself, so that the other deployments end. */
std::atomic<bool> HasAnyEnded{false};

/** A searcher; if it is slow, requests wait in its queue until it leaves. */
struct Searcher {
  Searcher(const std::string &Id, bool IsSlow) : m_Id(Id), m_IsSlow(IsSlow) {
    m_Server = std::make_unique<Server>(
        "127.0.0.1", 0, [this](Connection &Peer) { serve(Peer); });
  }

  void serve(Connection &Peer) {
    Message Request;
    while (Peer.readHead(Request, 60000) && Peer.readBody(Request, 5000)) {
      const std::string Id = Request.header("x-request-id");
      if (Request.header("x-expect-instance") != m_Id) {
        Peer.write("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (!m_IsSlow) {
        Begun.add(Id);
        sleepMs(WorkMs);
        Peer.write(okAnswer(Request, "stamp-" + Id, "order"));
        continue;
      }
      {
        std::unique_lock Lock(m_Mutex);
        m_Left.wait_for(Lock, milliseconds(DeadlineMs + 1000),
                        [this] { return m_IsLeaving; });
      }
      const bool IsLast = ++m_TurnedAway == ConnectionsUsed;
      Peer.write("HTTP/1.1 503 X\r\nX-Request-Id: " + Id +
                 "\r\nX-Not-Executed: 1\r\nServer-Leaving: 1\r\n" +
                 (IsLast ? "Retry-After: 1\r\n" : "") +
                 "Connection: close\r\nContent-Length: 0\r\n\r\n");
      return;
    }
  }

  void leave() {
    const std::lock_guard Lock(m_Mutex);
    m_IsLeaving = true;
    m_Left.notify_all();
  }

  std::string m_Id;
  bool m_IsSlow;
  bool m_IsLeaving = false;
  std::atomic<int> m_TurnedAway{0};
  std::mutex m_Mutex;
  std::condition_variable m_Left;
  std::unique_ptr<Server> m_Server;
};

/** Results of the callers' requests. */
struct Results {
  std::atomic<int> m_Answered{0};
  std::atomic<int> m_Refused{0};
  std::atomic<int> m_Lost{0};
  std::atomic<int> m_LostAtWork{0}; ///< A sound searcher had begun to run it.

  void add(const std::string &Id, const Message &Answer) {
    ++(Answer.m_Status == 200 ? m_Answered
       : Answer.m_Status != 0 ? m_Refused
                              : m_Lost);
    const bool IsLostAtWork = Answer.m_Status == 0 && Begun.contains(Id);
    m_LostAtWork += IsLostAtWork;
    if (Answer.m_Status != 200)
      Record::line("caller id=" + Id +
                   (Answer.m_Status != 0
                        ? " status=" + std::to_string(Answer.m_Status)
                        : " connection ends without an answer") +
                   (IsLostAtWork ? ", a sound searcher is at work on it" : ""));
  }
};

std::string serviceName(int Service) {
  return "portal-" + std::to_string(Service);
}

} // namespace

namespace {

Verdict playDeployment(const std::string &Deployment,
                       const std::vector<std::uint16_t> &Ports) {
  Store Platform;
  std::string Routes;
  std::string Policies;
  for (int I = 0; I < Services; ++I) {
    const std::string Comma = I > 0 ? "," : "";
    Routes +=
        Comma + routeText("r-" + serviceName(I), "/" + serviceName(I) + "/",
                          "unsafe", DeadlineMs, 600,
                          "\"service\":\"" + serviceName(I) + "\"");
    Policies += Comma + serviceText(serviceName(I), ConnectionLimit);
  }
  Platform.put("config", "main", configText(1, Routes, Policies));
  std::vector<std::unique_ptr<Searcher>> All;
  const auto Put = [&](const Searcher &Each, int Service,
                       const std::string &State) {
    Platform.put("servers", Each.m_Id,
                 entryText(serviceName(Service), Each.m_Server->address(),
                           "nz-south-a", State, 1785822630279));
  };
  const auto Add = [&](const std::string &Id, int Service, bool IsSlow) {
    All.push_back(std::make_unique<Searcher>(Id, IsSlow));
    Put(*All.back(), Service, "ready");
    return All.back().get();
  };
  for (int I = 0; I < Services; ++I)
    for (int K = 1; K < SearchersEach; ++K)
      Add("i-" + std::to_string(I) + "-" + std::to_string(K), I, false);
  Vm Node("vm-" + Deployment, "127.0.0.1", Platform.address(), "", Ports);
  Node.start();
  if (!Node.waitUntilReady(10000))
    return CouldNotRun;
  sleepMs(SettleMs);
  Results Steady;
  Results Bursts;
  std::atomic<bool> Stop{false};
  std::vector<std::thread> SteadyThreads;
  for (int Round = 0; Round < Rounds && Node.isRunning() && !HasAnyEnded;
       ++Round) {
    const std::string Name = Deployment + "-" + std::to_string(Round);
    std::vector<Searcher *> Leaving;
    std::vector<std::string> Names;
    for (int I = 0; I < Services; ++I) {
      Leaving.push_back(
          Add("i-" + std::to_string(I) + "-slow-" + Name, I, true));
      Names.push_back(Leaving.back()->m_Id);
    }
    sleepMs(600);
    std::vector<std::thread> Callers;
    for (int I = 0; I < Services; ++I)
      for (int K = 0; K < LookupsEach; ++K)
        Callers.emplace_back([&, I, K, Name] {
          const std::string Id =
              "q-" + Name + "-" + std::to_string(I) + "-" + std::to_string(K);
          const auto Peer = connectTo(Node.host(), Node.port());
          Bursts.add(Id,
                     Peer ? exchange(*Peer, "POST", "/" + serviceName(I) + "/a",
                                     Id, DeadlineMs, "order")
                          : Message{});
        });
    sleepMs(150);
    if (hasTrouble())
      for (int I = 0; I < Services; ++I)
        Put(*Leaving[static_cast<std::size_t>(I)], I, "draining");
    Record::line("round " + Name + ": searchers drain");
    sleepMs(DrainMs + ExtraServingMs - 300);
    Stop = false;
    for (int I = 0; I < SteadyCallers; ++I)
      SteadyThreads.emplace_back([&, I, Name] {
        const auto Peer = connectTo(Node.host(), Node.port());
        for (int K = 0; Peer && !Stop; ++K) {
          const std::string Id =
              "s-" + Name + "-" + std::to_string(I) + "-" + std::to_string(K);
          const Message Answer =
              exchange(*Peer, "POST", "/" + serviceName(I % Services) + "/a",
                       Id, DeadlineMs, "order");
          Steady.add(Id, Answer);
          if (Answer.m_Status == 0)
            return;
          sleepMs(SteadyIntervalMs);
        }
      });
    sleepMs(300);
    if (hasTrouble()) {
      std::string Larger = Routes;
      for (int I = 0; I < AddedRoutes; ++I)
        Larger += "," + routeText("x-" + std::to_string(I),
                                  "/x/" + Name + "/" + std::to_string(I) + "/",
                                  "safe", DeadlineMs, 600,
                                  "\"service\":\"portal-0\"");
      Record::line("round " + Name + ": " + std::to_string(AddedRoutes) +
                   " routes are added, searchers leave");
      Platform.put("config", "main", configText(2 + Round, Larger, Policies));
      std::this_thread::sleep_for(ConfigLead);
      for (Searcher *Each : Leaving)
        Each->leave();
      std::this_thread::sleep_for(std::chrono::microseconds(200));
      Platform.removeTogether("servers", Names);
    }
    sleepMs(300);
    Stop = true;
    for (std::thread &Each : SteadyThreads)
      Each.join();
    SteadyThreads.clear();
    for (std::thread &Each : Callers)
      Each.join();
    HasAnyEnded = HasAnyEnded || !Node.isRunning();
    for (Searcher *Each : Leaving)
      Each->leave();
    Platform.removeTogether("servers", Names);
  }
  const bool HasEnded = !Node.isRunning();
  if (HasEnded)
    Record::line("WRONG: VM " + Deployment + " has ended by itself");
  const int Lost = Steady.m_Lost + Bursts.m_Lost;
  Record::line(
      "VM " + Deployment +
      ": answered=" + std::to_string(Steady.m_Answered + Bursts.m_Answered) +
      " refused=" + std::to_string(Steady.m_Refused + Bursts.m_Refused) +
      " lost=" + std::to_string(Lost) +
      " of which at work on kept connections=" +
      std::to_string(Steady.m_LostAtWork));
  if (Steady.m_Answered < 20)
    return CouldNotRun;
  return HasEnded && Steady.m_LostAtWork > 3 ? Broken : Held;
}

} // namespace

Verdict runLeavingTogether() {
  std::vector<Verdict> Verdicts(Deployments, CouldNotRun);
  constexpr std::ptrdiff_t PortsEach = 6;
  const std::vector<std::uint16_t> Ports = freePorts(PortsEach * Deployments);
  std::vector<std::thread> Threads;
  for (std::size_t I = 0; I < Verdicts.size(); ++I)
    Threads.emplace_back([&, I] {
      const auto First =
          Ports.begin() + PortsEach * static_cast<std::ptrdiff_t>(I);
      Verdicts[I] =
          playDeployment(std::to_string(I + 1),
                         std::vector<std::uint16_t>(First, First + PortsEach));
    });
  for (std::thread &Each : Threads)
    Each.join();
  if (std::count(Verdicts.begin(), Verdicts.end(), Broken) > 0)
    return Broken;
  return std::count(Verdicts.begin(), Verdicts.end(), CouldNotRun) > 0
             ? CouldNotRun
             : Held;
}

} // namespace review
