#ifndef FIGTURN_STANDIN_FAULTYCONNECTION_H
#define FIGTURN_STANDIN_FAULTYCONNECTION_H

/**
 * One connection of a FaultyHttpServer: parses requests one at a time and
 * takes the next only when the last was answered.
 */

#include "standin/FaultyHttpServer.h"

#include <QTcpSocket>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

namespace figturn::standin {

/** Owns its socket; deletes itself when the peer leaves. */
class FaultyConnection : public QObject {
public:
  FaultyConnection(FaultyHttpServer &Server, QTcpSocket *Socket,
                   std::uint64_t Number);
  ~FaultyConnection() override;

  void respond(const StandinReply &Reply);
  void respondTruncated(const StandinReply &Reply);
  void close();
  /** Reads and answers nothing from now on, and stays open. */
  void silence() { m_IsSilent = true; }
  /** Whether the peer has closed, though no event told so yet. */
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
  /** Cleared at the end, for exchanges that outlive the connection. */
  std::shared_ptr<FaultyConnection *> m_Self;
  std::optional<Parser> m_Parser;
  bool m_AwaitsReply = false;
  bool m_IsSilent = false;
  bool m_IsDisconnected = false;
};

} // namespace figturn::standin

#endif // FIGTURN_STANDIN_FAULTYCONNECTION_H
