#ifndef FIGTURN_STANDIN_FAULTYCONNECTION_H
#define FIGTURN_STANDIN_FAULTYCONNECTION_H

/**
 * One connection of a FaultyHttpServer. Parses one request at a time and reads
 * the next only after the previous one was answered.
 */

#include "standin/FaultyHttpServer.h"

#include <QTcpSocket>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

namespace figturn::standin {

/** Owns its socket; deletes itself when the connection ends. */
class FaultyConnection : public QObject {
public:
  FaultyConnection(FaultyHttpServer &Server, QTcpSocket *Socket,
                   std::uint64_t Number);
  ~FaultyConnection() override;

  void respond(const StandinReply &Reply);
  void respondTruncated(const StandinReply &Reply);
  void close();
  /** Stops reading and answering, and keeps the connection open. */
  void silence() { m_IsSilent = true; }
  /** Whether the peer has closed; true also before Qt reports it. */
  bool hasPeerClosed() const;
  std::uint64_t number() const { return m_Number; }

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void onDisconnected();
  void readBytes();
  void parseNext();
  StandinRequest takeRequest();

  FaultyHttpServer &m_Server;
  QTcpSocket *m_Socket;
  std::uint64_t m_Number;
  QByteArray m_Unparsed;
  /** Set to null by the destructor; exchanges may outlive the connection. */
  std::shared_ptr<FaultyConnection *> m_Self;
  std::optional<Parser> m_Parser;
  bool m_AwaitsReply = false;
  bool m_IsSilent = false;
  bool m_IsDisconnected = false;
};

} // namespace figturn::standin

#endif // FIGTURN_STANDIN_FAULTYCONNECTION_H
