#ifndef FIGTURN_STANDIN_ROUTEDSTANDINS_H
#define FIGTURN_STANDIN_ROUTEDSTANDINS_H

/**
 * Stand-ins for the platform that routed mode runs on: its store and its
 * targets, which speak the published protocol. Confined to one thread with an
 * event loop. Shares no code with platform/, so that tests detect a misspelt
 * wire name there.
 */

#include <QJsonObject>
#include <QObject>
#include <QTcpServer>
#include <QTcpSocket>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace figturn::standin {

/** A received request; header names are in lower case. */
struct SimpleHttpRequest {
  std::string m_Method;
  std::string m_Path;
  std::map<std::string, std::string> m_Query;
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;

  std::string header(const std::string &Name) const;
};

/** Handle to answer one request. */
class SimpleHttpResponder {
public:
  explicit SimpleHttpResponder(QTcpSocket *Socket) : m_Socket(Socket) {}

  /** Sends a complete response. */
  void send(unsigned Status, const std::string &Body,
            const std::string &Headers = "") const;
  /** Writes \p Bytes unchanged. */
  void sendRaw(const std::string &Bytes) const;
  /** Closes the connection gracefully. */
  void close() const;
  /** Closes the connection with a TCP reset. */
  void reset() const;
  bool isOpen() const;

private:
  std::weak_ptr<QTcpSocket> share() const;
  QTcpSocket *m_Socket;
};

/** HTTP/1.1 server whose handler may answer at any later time. */
class SimpleHttpServer {
public:
  using Handler =
      std::function<void(const SimpleHttpRequest &, SimpleHttpResponder)>;

  explicit SimpleHttpServer(Handler OnRequest);

  std::uint16_t port() const { return m_Server.serverPort(); }
  std::string address() const;
  /** Closes all connections with a TCP reset. */
  void resetConnections();
  /** Resets all connections and refuses new ones for \p Downtime. */
  void crash(std::chrono::milliseconds Downtime);
  std::uint64_t accepted() const { return m_Accepted; }

private:
  void accept();
  void read(QTcpSocket &Socket, QByteArray &Buffer);

  QTcpServer m_Server;
  Handler m_Handler;
  std::list<QTcpSocket *> m_Sockets;
  std::uint64_t m_Accepted = 0;
};

/** The platform's store: objects by kind and name, lists and watches. */
class StoreStandin {
public:
  StoreStandin();

  std::string address() const { return m_Server.address(); }
  std::uint16_t port() const { return m_Server.port(); }
  /** Creates or replaces an object. A change of nothing, or of an entry's
   *  `sequence` alone, gives no revision and no event. */
  void put(const std::string &Kind, const std::string &Name,
           const QJsonObject &Spec);
  /** Like put(), with \p Spec as JSON text, which is sent unchanged. */
  void putRaw(const std::string &Kind, const std::string &Name,
              const std::string &Spec);
  void remove(const std::string &Kind, const std::string &Name);
  /** Drops the change history; watches from an older revision get 410. */
  void compactHistory();
  /** Drops the history and answers pending watches of \p Kind with 410. */
  void compactHistoryAndExpireWatches(const std::string &Kind);
  /** Resets all connections and drops pending watches. */
  void dropConnections();
  /** Keeps a copy of all objects, for returnFromCopy(). */
  void saveCopy() { m_Copy = m_Content; }
  /** Returns from the copy saved last: what was written since is gone, and its
   *  revisions are assigned again, in the next era. */
  void returnFromCopy();
  std::uint64_t revision() const { return m_Content.m_Revision; }

  bool m_IsDown = false;                ///< Answers each request with 503.
  std::uint64_t m_Era = 1;              ///< Named in all replies; 0: in none.
  bool m_SuppressesWatchEvents = false; ///< Pending watches get no events.
  /** New watches of this kind are never answered. */
  std::string m_UnansweredWatchKind;
  /** Objects of this kind are stored but neither listed nor watched. */
  std::string m_HiddenKind;
  /** If not empty, answers each listing instead of the objects. */
  std::string m_ListText;
  std::size_t m_PageSize = 500;
  std::map<std::string, int>
      m_RequestCounts; ///< Keys: "list KIND", "watch KIND", ...

private:
  struct Change {
    std::uint64_t m_Revision;
    std::string m_Kind;
    QJsonObject m_Event;
  };
  /** What the store holds. */
  struct Content {
    std::uint64_t m_Revision = 10;
    std::uint64_t m_CompactedRevision = 0;
    std::map<std::string, std::map<std::string, QJsonObject>> m_Objects;
    std::vector<Change> m_History;
  };
  struct Watch {
    std::string m_Kind;
    std::uint64_t m_AfterRevision;
    SimpleHttpResponder m_Reply;
    std::uint64_t m_Number;
  };

  void handle(const SimpleHttpRequest &Request, SimpleHttpResponder Reply);
  void list(const std::string &Kind, const SimpleHttpRequest &Request,
            SimpleHttpResponder Reply);
  void watch(const std::string &Kind, const SimpleHttpRequest &Request,
             SimpleHttpResponder Reply);
  void write(const std::string &Kind, std::string Name,
             const SimpleHttpRequest &Request, SimpleHttpResponder Reply);
  bool answerWatch(const Watch &Pending);
  /** Answers a watch that has waited for as long as it asked to. */
  void endWatch(std::uint64_t Number);
  void sendObjects(const QJsonObject &Body, SimpleHttpResponder Reply) const;
  void recordChange(const std::string &Kind, const QJsonObject &Object,
                    bool Removed);

  /** Sends a reply that names the era. */
  void reply(SimpleHttpResponder Reply, unsigned Status,
             const std::string &Body) const;

  Content m_Content;
  Content m_Copy;                      ///< For returnFromCopy().
  std::vector<std::string> m_RawSpecs; ///< By number in their placeholders.
  std::list<Watch> m_Watches;
  std::uint64_t m_WatchCount = 0;
  QObject m_Context;
  SimpleHttpServer m_Server;
};

/** A target of the platform, in routed mode. */
class SearcherStandin {
public:
  SearcherStandin(std::string Id, std::string Service, std::string Zone);

  /** Entry of the target in the store, with state \p State. */
  QJsonObject entry(const std::string &State = "ready") const;
  const std::string &id() const { return m_Id; }

  /** Handles requests addressed to this instance; calls answer() by default. */
  std::function<void(const SimpleHttpRequest &, SimpleHttpResponder)>
      m_RunHandler;
  std::chrono::milliseconds m_Delay{1};
  std::string m_Body = "0123456789abcdef";      ///< Reply body: one record.
  std::chrono::milliseconds m_ColdRemaining{0}; ///< As its entry says.
  std::int64_t m_Sequence = 4;                  ///< Of the last heartbeat.
  std::int64_t m_Born = 1785822630279; ///< Start, in Unix milliseconds.
  std::vector<SimpleHttpRequest> m_RunRequests;
  std::vector<std::string> m_DeadlineHeaders; ///< In order of arrival.

  /** Answers \p Request as a healthy target does. */
  void answer(const SimpleHttpRequest &Request,
              SimpleHttpResponder Reply) const;
  SimpleHttpServer &server() { return m_Server; }

private:
  void handle(const SimpleHttpRequest &Request, SimpleHttpResponder Reply);

  std::string m_Id;
  std::string m_Service;
  std::string m_Zone;
  QObject m_Context;
  SimpleHttpServer m_Server;
};

} // namespace figturn::standin

#endif // FIGTURN_STANDIN_ROUTEDSTANDINS_H
