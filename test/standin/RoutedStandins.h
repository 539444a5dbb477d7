#ifndef FIGTURN_STANDIN_ROUTEDSTANDINS_H
#define FIGTURN_STANDIN_ROUTEDSTANDINS_H

/**
 * The users' platform for tests of the routed door: its store and its
 * targets, by their published protocol and on one thread with an event loop.
 * Written apart from platform/, so that a name read wrongly there shows.
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

/** A request as it came; header names in lower case. */
struct SimpleHttpRequest {
  std::string m_Method;
  std::string m_Path;
  std::map<std::string, std::string> m_Query;
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;

  std::string header(const std::string &Name) const;
};

/** The right to answer one request. */
class SimpleHttpResponder {
public:
  explicit SimpleHttpResponder(QTcpSocket *Socket) : m_Socket(Socket) {}

  /** Writes a whole answer. */
  void send(unsigned Status, const std::string &Body,
            const std::string &Headers = "") const;
  /** Writes bytes as they are. */
  void sendRaw(const std::string &Bytes) const;
  /** Closes in order. */
  void close() const;
  /** Resets the connection. */
  void reset() const;
  bool isOpen() const;

private:
  std::weak_ptr<QTcpSocket> share() const;
  QTcpSocket *m_Socket;
};

/** HTTP/1.1 server whose answers may come at any time. */
class SimpleHttpServer {
public:
  using Handler =
      std::function<void(const SimpleHttpRequest &, SimpleHttpResponder)>;

  explicit SimpleHttpServer(Handler OnRequest);

  std::uint16_t port() const { return m_Server.serverPort(); }
  std::string address() const;
  /** Ends all connections by a reset. */
  void resetConnections();
  /** Ends all connections and refuses new ones for \p Length. */
  void crash(std::chrono::milliseconds Length);
  std::uint64_t accepted() const { return m_Accepted; }

private:
  void accept();
  void read(QTcpSocket &Socket, QByteArray &Buffer);

  QTcpServer m_Server;
  Handler m_Handler;
  std::list<QTcpSocket *> m_Sockets;
  std::uint64_t m_Accepted = 0;
};

/** The store: objects by kind and name, listings, watches. */
class StoreStandin {
public:
  StoreStandin();

  std::string address() const { return m_Server.address(); }
  std::uint16_t port() const { return m_Server.port(); }
  void put(const std::string &Kind, const std::string &Name,
           const QJsonObject &Spec);
  void remove(const std::string &Kind, const std::string &Name);
  /** Watches from before now are answered 410 from now on. */
  void compactHistory();
  /** Forgets the history and tells the waiting watches of \p Kind so. */
  void compactHistoryAndExpireWatches(const std::string &Kind);
  /** Ends all connections, and with them waiting watches. */
  void dropConnections();

  bool m_IsDown = false;                ///< Answers 503.
  bool m_SuppressesWatchEvents = false; ///< Waiting watches hear of nothing.
  /** Watches of this kind that come now are never answered. */
  std::string m_UnansweredWatchKind;
  std::size_t m_PageSize = 500;
  std::map<std::string, int>
      m_RequestCounts; ///< By "list KIND", "watch KIND", ...

private:
  struct Change {
    std::uint64_t m_Revision;
    std::string m_Kind;
    QJsonObject m_Event;
  };
  struct Watch {
    std::string m_Kind;
    std::uint64_t m_After;
    SimpleHttpResponder m_Reply;
  };

  void handle(const SimpleHttpRequest &Request, SimpleHttpResponder Reply);
  void list(const std::string &Kind, const SimpleHttpRequest &Request,
            SimpleHttpResponder Reply);
  void watch(const std::string &Kind, const SimpleHttpRequest &Request,
             SimpleHttpResponder Reply);
  void write(const std::string &Kind, std::string Name,
             const SimpleHttpRequest &Request, SimpleHttpResponder Reply);
  bool answerWatch(const Watch &Waiting);
  void record(const std::string &Kind, const QJsonObject &Object, bool Removed);

  std::uint64_t m_Revision = 10;
  std::uint64_t m_CompactedRevision = 0;
  std::map<std::string, std::map<std::string, QJsonObject>> m_Objects;
  std::vector<Change> m_History;
  std::list<Watch> m_Watches;
  SimpleHttpServer m_Server;
};

/** A target of the platform. */
class SearcherStandin {
public:
  SearcherStandin(std::string Id, std::string Service, std::string Zone);

  /** Its entry in the store. */
  QJsonObject entry(const std::string &State = "ready") const;
  const std::string &id() const { return m_Id; }

  /** What it does with a request that it would run; default: answers. */
  std::function<void(const SimpleHttpRequest &, SimpleHttpResponder)>
      m_RunHandler;
  std::chrono::milliseconds m_Delay{1};
  std::string m_Body = "0123456789abcdef"; ///< One record.
  std::vector<SimpleHttpRequest> m_RunRequests;
  std::vector<std::string> m_DeadlineHeaders; ///< As they came.

  /** Answers \p Request as a sound target does. */
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
