// A searcher hands out wrong bytes: the first digit of the status in some of
// its answers is wrong. The script checks what the client gets.

#include "harness.hh"

using namespace review;

namespace {

constexpr double GarbledShare = 0.02; // x of garble in the site's troubles
constexpr int Lookups = 1200;
constexpr int Clients = 12;
constexpr int WorkMs = 20;

const char *ConfigText =
    R"({"version":3,"routes":[{"name":"lookup","host":"h.example",)"
    R"("path_prefix":"/look/","kind":"safe","timeout_ms":4000,)"
    R"("target_latency_ms":600,"priority":2,"service":"desk",)"
    R"("attempts":2}],"services":[{"name":"desk","health_path":"/health",)"
    R"("connection_limit":214,"protocol":"h1","tls":false,)"
    R"("cold_start_s":3.0,"cold_per_s":0.0}],)"
    R"("limits":{"header_bytes":16384,"body_bytes":262144,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

} // namespace

int main(int, char **Arguments) {
  Record::get().open(string(Arguments[1]) + "/record.txt");
  const bool Trouble = hasTrouble();
  note(Trouble ? "with the disruption" : "without the disruption");
  TempFolder Folder;
  Store Platform;
  std::atomic<int> ServedByFaulty{0};
  const auto Handler = [&](const string &Id, bool IsFaulty) {
    return [&, Id, IsFaulty](const Message &Request, Stream &Connection) {
      if (Request.header("x-expect-instance") != Id)
        return Connection.write(
            response(421, "X-Instance-Id: " + Id + "\r\n", ""));
      const string RequestId = Request.header("x-request-id");
      const int Number = IsFaulty ? ServedByFaulty++ : 0;
      sleepMs(WorkMs);
      string Answer = response(200,
                               "X-Request-Id: " + RequestId +
                                   "\r\nX-Server-Stamp: stamp-" + Id + "\r\n",
                               "the whole record");
      const bool IsGarbled =
          IsFaulty && static_cast<int>(Number * GarbledShare) !=
                          static_cast<int>((Number + 1) * GarbledShare);
      if (IsGarbled) {
        Answer[Answer.find(" 200") + 1] = '0';
        note("searcher " + Id + ": garbles the answer to " + RequestId +
             ": HTTP/1.1 000");
      }
      return Connection.write(Answer);
    };
  };
  // One searcher of three is faulty, a share of 0.33.
  Server Left(Handler("i-left", Trouble));
  Server Middle(Handler("i-middle", false));
  Server Right(Handler("i-right", false));
  Platform.put("config", "main", ConfigText);
  const auto Put = [&](const string &Id, const Server &Each) {
    Platform.put("servers", Id,
                 SearcherEntry{.m_Service = "desk",
                               .m_Address = Each.address(),
                               .m_BornMs = 1785822630279}
                     .text());
  };
  Put("i-left", Left);
  Put("i-middle", Middle);
  Put("i-right", Right);
  EntryVm Vm("vm-1", Folder.path(), Platform.address());
  Folder.owns(Vm);
  if (!Vm.start())
    return 2;
  sleepMs(5000);

  std::atomic<int> Answered{0};
  std::atomic<int> Wrong{0};
  const auto RunClient = [&](int Client) {
    StreamPtr Connection;
    for (int I = 0; I < Lookups / Clients; ++I) {
      const string Id = "q-" + std::to_string(Client) + "-" + std::to_string(I);
      if (!Connection)
        Connection = connectTo(Vm.m_CallerPort);
      if (!Connection)
        return;
      Connection->write("GET /look/a HTTP/1.1\r\nHost: h.example\r\n"
                        "X-Request-Id: " +
                        Id + "\r\nX-Deadline-Milliseconds: 4000\r\n\r\n");
      const auto Answer = Connection->read(5000);
      // A status has three digits of which the first is 1 to 5 (RFC 9110, 15).
      const bool IsAnswer =
          Answer && Answer->m_Status >= 100 && Answer->m_Status <= 599;
      Answered += IsAnswer && Answer->m_Status == 200 ? 1 : 0;
      if (Answer && !IsAnswer) {
        ++Wrong;
        note("client: " + Id + " got \"" + Answer->m_FirstLine +
             "\", Content-Length \"" + Answer->header("content-length") +
             "\", X-Server-Stamp \"" + Answer->header("x-server-stamp") +
             "\"  <-- no answer in the protocol");
      }
      if (!Answer || !IsAnswer || Answer->header("connection") == "close")
        Connection = nullptr;
    }
  };
  std::vector<std::thread> Threads;
  for (int I = 0; I < Clients; ++I)
    Threads.emplace_back(RunClient, I + 1);
  for (std::thread &Each : Threads)
    Each.join();
  note("requests at the faulty searcher: " + std::to_string(ServedByFaulty));
  note("answered with 200: " + std::to_string(Answered) + " of " +
       std::to_string(Lookups) +
       ", bytes that are no answer: " + std::to_string(Wrong));
  const bool IsBroken = Wrong > 0;
  note(IsBroken ? "MIXED is broken" : "MIXED held");
  Vm.end();
  Platform.stop();
  Left.stop();
  Middle.stop();
  Right.stop();
  return Answered == 0 ? 2 : IsBroken ? 1 : 0;
}
