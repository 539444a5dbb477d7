// The searchers of one zone go down together and come back, while dashboards
// poll a search that is always the same. The script checks whether that search
// is served again once everything is well.

#include "harness.hh"

#include <random>

using namespace review;

namespace {

constexpr int Shards = 10;              // of crew-portal
constexpr int DownMs = 4500;            // for_s of cold_return
constexpr int LapseMs = 3600;           // three check-in intervals
constexpr int ColdMs = 3000;            // cold_start_s
constexpr int StabilityWindowMs = 4000; // stability_window_ms
constexpr int MeasuredMs = 10000;
constexpr int Pollers = 3; // For each entry VM and route.

string zone(int Number) { return string("zone-") + char('a' + Number); }

/** A sound searcher of one shard, which can go down and come back. */
class Searcher {
public:
  Searcher(int Shard, int Zone) : m_Shard(Shard), m_Zone(Zone) { start(); }
  void start() {
    ++m_Boot;
    m_Id = "i-" + std::to_string(m_Shard) + "-" + zone(m_Zone) + "-" +
           std::to_string(m_Boot);
    m_Server = std::make_unique<Server>(
        [this, Id = m_Id](const Message &Request, Stream &Connection) {
          return handle(Id, Request, Connection);
        },
        m_Port);
    m_Port = m_Server->port();
  }
  void halt() { m_Server->halt(); }
  void stop() { m_Server.reset(); }
  const string &id() const { return m_Id; }
  string entry(int ColdRemainingMs) const {
    return SearcherEntry{.m_Service = "shard-" + std::to_string(m_Shard),
                         .m_Address = "127.0.0.1:" + std::to_string(m_Port),
                         .m_BornMs = 1785822630000 + 10000 * m_Boot,
                         .m_Zone = zone(m_Zone),
                         .m_ColdRemainingMs = ColdRemainingMs}
        .text();
  }

private:
  static bool handle(const string &Id, const Message &Request,
                     Stream &Connection) {
    if (Request.header("x-expect-instance") != Id)
      return Connection.write(
          response(421, "X-Instance-Id: " + Id + "\r\n", ""));
    sleepMs(40); // between mean and max of archive-search
    const string RequestId = Request.header("x-request-id");
    return Connection.write(response(200,
                                     "X-Request-Id: " + RequestId +
                                         "\r\nX-Server-Stamp: " + Id + "." +
                                         RequestId + "\r\n",
                                     "0123456789abcdef"));
  }

  int m_Shard;
  int m_Zone;
  int m_Boot = 0;
  int m_Port = 0;
  string m_Id;
  std::unique_ptr<Server> m_Server;
};

string configText(int Version, bool HasAddedRoute) {
  string Gather;
  string Services;
  for (int I = 0; I < Shards; ++I) {
    const string Name = "shard-" + std::to_string(I);
    const string Comma = I == 0 ? "" : ",";
    Gather += Comma + '"' + Name + '"';
    Services += Comma + R"({"name":")" + Name +
                R"(","health_path":"/health","connection_limit":70,)"
                R"("protocol":"h1","tls":false,"cold_start_s":3.0,)"
                R"("cold_per_s":0.0})";
  }
  const auto Route = [&Gather](const string &Name) {
    return R"({"name":")" + Name + R"(","host":"h.example","path_prefix":"/)" +
           Name + R"(/","kind":"safe","timeout_ms":800,)" +
           R"("target_latency_ms":150,"priority":1,"gather":[)" + Gather +
           R"(],"attempts":2,"top":5,"min_version":0.89})";
  };
  return R"({"version":)" + std::to_string(Version) + R"(,"routes":[)" +
         Route("archive") + (HasAddedRoute ? "," + Route("dispatch") : "") +
         R"(],"services":[)" + Services +
         R"(],"limits":{"header_bytes":16384,"body_bytes":262144,)" +
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

struct Counts {
  std::atomic<int> m_Asked{0};
  std::atomic<int> m_Served{0};
  std::atomic<int> m_Refused{0};
};

} // namespace

int main(int, char **Arguments) {
  Record::get().open(string(Arguments[1]) + "/record.txt");
  const bool Trouble = hasTrouble();
  note(Trouble ? "with the disruption" : "without the disruption");
  TempFolder Folder;
  Store Platform;
  std::list<Searcher> Searchers;
  std::vector<Searcher *> InFirstZone;
  for (int Zone = 0; Zone < 3; ++Zone)
    for (int Shard = 0; Shard < Shards; ++Shard) {
      Searcher &New = Searchers.emplace_back(Shard, Zone);
      Platform.put("servers", New.id(), New.entry(0));
      if (Zone == 0)
        InFirstZone.push_back(&New);
    }
  Platform.put("config", "main", configText(3, false));
  const int GossipPort = freePorts(1).front();
  EntryVm First("vm-1", Folder.path(), Platform.address(),
                {.m_Zone = zone(0),
                 .m_Host = 1,
                 .m_GossipPort = GossipPort,
                 .m_Seed = ""});
  EntryVm Second("vm-2", Folder.path(), Platform.address(),
                 {.m_Zone = zone(1),
                  .m_Host = 2,
                  .m_GossipPort = GossipPort,
                  .m_Seed = First.controlAddress()});
  Folder.owns(First);
  Folder.owns(Second);
  if (!First.start() || !Second.start())
    return 2;
  sleepMs(StabilityWindowMs);
  Platform.put("config", "main", configText(7, true)); // Adds /dispatch/.
  sleepMs(3000);                                       // configuration_ms

  // Each dashboard polls: /dispatch/ with the same search, /archive/ with
  // another one each time.
  std::atomic<bool> IsOver{false};
  std::atomic<bool> IsMeasuring{false};
  Counts Dispatch;
  Counts Archive;
  const auto Poll = [&](const EntryVm &Vm, const string &Name, int Poller,
                        bool IsDispatch) {
    Counts &Counted = IsDispatch ? Dispatch : Archive;
    int LastStatus = 200;
    // Dashboards don't poll in step.
    std::minstd_rand Random(static_cast<unsigned>(Poller) + 1);
    std::uniform_int_distribution<int> Pause(5, 35);
    for (int I = 0; !IsOver; ++I) {
      const string Id = Name + (IsDispatch ? "-d" : "-a") +
                        std::to_string(Poller) + "-" + std::to_string(I);
      const string Path = IsDispatch ? "/dispatch/basement" : "/archive/" + Id;
      const bool Counts = IsMeasuring;
      const auto Connection = Vm.connect();
      std::optional<Message> Answer;
      if (Connection && Connection->write("GET " + Path +
                                          " HTTP/1.1\r\nHost: h.example\r\n"
                                          "X-Request-Id: " +
                                          Id +
                                          "\r\nX-Deadline-Milliseconds: "
                                          "800\r\n\r\n"))
        Answer = Connection->read(2000);
      const int Status = Answer ? Answer->m_Status : 0;
      if (Status != LastStatus)
        note("client: " + Id + " GET " + Path + " at " + Name + ": " +
             std::to_string(Status) +
             " (before: " + std::to_string(LastStatus) + ")" +
             (Status == 503 ? " " + Answer->m_Body : string()));
      LastStatus = Status;
      if (Counts) {
        ++Counted.m_Asked;
        Counted.m_Served += Status == 200 ? 1 : 0;
        Counted.m_Refused += Status == 503 ? 1 : 0;
      }
      sleepMs(Status == 200 ? Pause(Random) : 100);
    }
  };
  std::vector<std::thread> Clients;
  for (int I = 0; I < Pollers; ++I)
    for (const bool IsDispatch : {true, false}) {
      Clients.emplace_back(Poll, std::cref(First), "vm-1", I, IsDispatch);
      Clients.emplace_back(Poll, std::cref(Second), "vm-2", I, IsDispatch);
    }
  sleepMs(StabilityWindowMs);

  if (Trouble) {
    note("the searchers of zone-a go down");
    for (Searcher *Each : InFirstZone)
      Each->halt();
    for (Searcher *Each : InFirstZone)
      Each->stop();
    sleepMs(LapseMs);
    for (Searcher *Each : InFirstZone)
      Platform.remove("servers", Each->id());
    sleepMs(DownMs - LapseMs);
    note("the searchers of zone-a come back, cold");
    for (Searcher *Each : InFirstZone) {
      Each->start();
      Platform.put("servers", Each->id(), Each->entry(ColdMs));
    }
    sleepMs(ColdMs);
    for (Searcher *Each : InFirstZone)
      Platform.put("servers", Each->id(), Each->entry(0));
  }
  sleepMs(StabilityWindowMs + 1000);
  note("steady state: measured for " + std::to_string(MeasuredMs) + " ms");
  IsMeasuring = true;
  sleepMs(MeasuredMs);
  IsMeasuring = false;
  IsOver = true;
  for (std::thread &Each : Clients)
    Each.join();

  const auto Share = [](const Counts &Counted) {
    return Counted.m_Asked > 0
               ? static_cast<double>(Counted.m_Served) / Counted.m_Asked
               : 0;
  };
  const auto Describe = [&](const string &Route, const Counts &Counted) {
    note(Route + ": asked " + std::to_string(Counted.m_Asked) + ", served " +
         std::to_string(Counted.m_Served) + ", refused with 503 " +
         std::to_string(Counted.m_Refused));
  };
  Describe("/archive/, a first route", Archive);
  Describe("/dispatch/, added later", Dispatch);
  const bool IsBroken =
      Dispatch.m_Asked >= 20 && Share(Dispatch) < Share(Archive) / 4;
  note(IsBroken ? "CONFIG is broken" : "CONFIG held");
  First.end();
  Second.end();
  Platform.stop();
  for (Searcher &Each : Searchers)
    Each.stop();
  return Archive.m_Served == 0 ? 2 : IsBroken ? 1 : 0;
}
