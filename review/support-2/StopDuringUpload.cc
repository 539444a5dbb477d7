#include "Cases.hh"

#include <atomic>
#include <csignal>

/**
 * A VM is stopped by SIGTERM while callers with slow links send it requests.
 * Whatever it has read in full and passed on must be answered.
 */
namespace review {

namespace {

constexpr int GraceMs = 6000;
/** When uploads begin, after SIGTERM: the VM still takes requests. */
constexpr int UploadStartMs = 2400;
/** When the last bytes of the uploads are sent, after SIGTERM. */
constexpr int UploadEndsMs[] = {3000, 3500, 4000, 4500};
constexpr int WorkMs = 300;
constexpr int ObjectiveMs = 400;
constexpr int DeadlineMs = 4000;
constexpr std::size_t BodyBytes = 200000;
constexpr int PieceIntervalMs = 50;
constexpr int SettleMs = 5000;

} // namespace

Verdict runStopDuringUpload() {
  Store Platform;
  std::atomic<int> Ran{0};
  Server Searcher("127.0.0.1", 0, [&](Connection &Peer) {
    Message Request;
    while (Peer.readHead(Request, 60000)) {
      const std::string Id = Request.header("x-request-id");
      if (!Peer.readBody(Request, 5000))
        return;
      ++Ran;
      Record::line("searcher begins id=" + Id);
      sleepMs(WorkMs);
      Record::line("searcher ends id=" + Id);
      Peer.write(okAnswer(Request, "stamp-" + Id, "order " + Id));
    }
  });
  Platform.put(
      "config", "main",
      configText(1,
                 routeText("r-upload", "/upload/", "unsafe", DeadlineMs,
                           ObjectiveMs, "\"service\":\"upload\""),
                 serviceText("upload", 96)));
  Platform.put("servers", "i-upload-1",
               entryText("upload", Searcher.address(), "nz-south-a", "ready",
                         1785822630279));
  Vm Node("vm-1", "127.0.0.1", Platform.address(), "", freePorts(6));
  Node.start();
  if (!Node.waitUntilReady(10000))
    return CouldNotRun;
  sleepMs(SettleMs);
  const double StopAt = Record::nowMs();
  if (hasTrouble()) {
    Record::line("SIGTERM");
    Node.signal(SIGTERM);
  }
  std::atomic<int> Answered{0};
  std::atomic<int> Lost{0};
  std::atomic<int> Other{0};
  std::vector<std::thread> Callers;
  for (const int EndMs : UploadEndsMs)
    Callers.emplace_back([&, EndMs] {
      const std::string Id = "q-" + std::to_string(EndMs);
      while (Record::nowMs() < StopAt + UploadStartMs)
        sleepMs(1);
      const auto Caller = connectTo(Node.host(), Node.port());
      if (!Caller) {
        Record::line("caller id=" + Id + " can't connect");
        ++Other;
        return;
      }
      bool IsSent = Caller->write(
          "POST /upload/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + Id +
          "\r\nX-Deadline-Milliseconds: " + std::to_string(DeadlineMs) +
          "\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n");
      std::size_t Sent = 0;
      while (IsSent && Sent < BodyBytes) {
        const double LeftMs = StopAt + EndMs - Record::nowMs();
        const auto Pieces =
            static_cast<std::size_t>(std::max(0.0, LeftMs / PieceIntervalMs));
        const std::size_t Piece = (BodyBytes - Sent) / (Pieces + 1);
        IsSent = Caller->write(std::string(Piece, 'x'));
        Sent += Piece;
        if (Pieces > 0)
          sleepMs(PieceIntervalMs);
      }
      const double SentAt = Record::nowMs();
      Record::line("caller id=" + Id +
                   (IsSent ? " sent its last byte" : " couldn't send it all"));
      Message Answer;
      const bool HasAnswer = IsSent &&
                             Caller->readHead(Answer, DeadlineMs + 1000) &&
                             Caller->readBody(Answer, 1000);
      Record::line("caller id=" + Id +
                   (HasAnswer ? " status=" + std::to_string(Answer.m_Status)
                              : " connection ends without an answer") +
                   " after " + std::to_string(Record::nowMs() - SentAt) +
                   " ms");
      if (HasAnswer)
        ++Answered;
      else if (IsSent)
        ++Lost;
      else
        ++Other;
    });
  for (std::thread &Each : Callers)
    Each.join();
  const bool HasEnded = !hasTrouble() || Node.waitForExit(GraceMs);
  Record::line(
      "answered=" + std::to_string(Answered) + " lost=" + std::to_string(Lost) +
      " not sent=" + std::to_string(Other) + " run=" + std::to_string(Ran) +
      (HasEnded ? "" : " VM still running"));
  if (Answered + Lost == 0)
    return CouldNotRun;
  return Lost > 0 ? Broken : Held;
}

} // namespace review
