#include "Cases.hh"

/**
 * A desired state raises the limit on bodies. Requests that only the new limit
 * allows must be served once that state is in force, on open connections, too.
 */
namespace review {

namespace {

constexpr std::size_t FirstLimit = 262144;
constexpr std::size_t SecondLimit = 1048576;
constexpr std::size_t BodyBytes = 300000;
constexpr int ConfigurationMs = 3000;
constexpr int SettleMs = 5000;
constexpr int Callers = 20;

} // namespace

Verdict runOldBodyLimit() {
  Store Platform;
  Server Searcher("127.0.0.1", 0, [](Connection &Peer) {
    Message Request;
    while (Peer.readHead(Request, 60000) && Peer.readBody(Request, 5000)) {
      const std::string Id = Request.header("x-request-id");
      Record::line("searcher runs id=" + Id +
                   " body=" + std::to_string(Request.m_Body.size()));
      Peer.write(okAnswer(Request, "stamp-" + Id, "order " + Id));
    }
  });
  const auto Publish = [&](int Version, std::size_t BodyLimit) {
    Platform.put("config", "main",
                 configText(Version,
                            routeText("r-upload", "/upload/", "unsafe", 4000,
                                      600, "\"service\":\"upload\""),
                            serviceText("upload", 96), BodyLimit));
    Record::line("store: desired state " + std::to_string(Version) +
                 " with body_bytes " + std::to_string(BodyLimit));
  };
  Publish(1, hasTrouble() ? FirstLimit : SecondLimit);
  Platform.put("servers", "i-upload-1",
               entryText("upload", Searcher.address(), "nz-south-a", "ready",
                         1785822630279));
  Vm Node("vm-1", "127.0.0.1", Platform.address(), "", freePorts(6));
  Node.start();
  if (!Node.waitUntilReady(10000))
    return CouldNotRun;
  sleepMs(SettleMs);
  std::vector<ConnectionPtr> Kept;
  for (int I = 0; I < Callers; ++I) {
    Kept.push_back(connectTo(Node.host(), Node.port()));
    if (!Kept.back() || exchange(*Kept.back(), "POST", "/upload/a",
                                 "first-" + std::to_string(I), 4000, "order")
                                .m_Status != 200)
      return CouldNotRun;
  }
  Publish(2, SecondLimit);
  sleepMs(ConfigurationMs + 1000);
  int Served = 0;
  int Wrong = 0;
  const std::string Body(BodyBytes, 'x');
  for (int I = 0; I < Callers; ++I) {
    const std::string Id = "kept-" + std::to_string(I);
    const Message Answer = exchange(*Kept[static_cast<std::size_t>(I)], "POST",
                                    "/upload/a", Id, 4000, Body);
    Served += Answer.m_Status == 200;
    Wrong += Answer.m_Status == 413;
    Record::line(std::string(Answer.m_Status == 413 ? "WRONG: " : "") +
                 "caller id=" + Id + " on a kept connection, body of " +
                 std::to_string(BodyBytes) +
                 " bytes: status=" + std::to_string(Answer.m_Status));
  }
  const auto Fresh = connectTo(Node.host(), Node.port());
  const Message Answer =
      Fresh ? exchange(*Fresh, "POST", "/upload/a", "new-1", 4000, Body)
            : Message{};
  Record::line("caller id=new-1 on a new connection: status=" +
               std::to_string(Answer.m_Status));
  Record::line("served=" + std::to_string(Served) +
               " refused with 413=" + std::to_string(Wrong));
  if (Answer.m_Status != 200)
    return CouldNotRun;
  return Wrong > 0 ? Broken : Held;
}

} // namespace review
