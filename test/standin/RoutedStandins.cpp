#include "standin/RoutedStandins.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QPointer>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>

#include <algorithm>
#include <fmt/format.h>
#include <sys/socket.h>

namespace figturn::standin {

namespace {

std::string encodeJson(const QJsonObject &Object) {
  return QJsonDocument(Object).toJson(QJsonDocument::Compact).toStdString();
}

QJsonObject decodeJson(const std::string &Text) {
  return QJsonDocument::fromJson(QByteArray::fromStdString(Text)).object();
}

QString toQString(const std::string &Text) {
  return QString::fromStdString(Text);
}

/** Whether replacing \p Old by \p New is a change for those who watch. */
bool isChange(const std::string &Kind, QJsonObject Old, QJsonObject New) {
  if (Kind == "servers") {
    Old.remove("sequence");
    New.remove("sequence");
  }
  return Old != New;
}

} // namespace

std::string SimpleHttpRequest::header(const std::string &Name) const {
  const auto Found = m_Headers.find(Name);
  return Found == m_Headers.end() ? "" : Found->second;
}

void SimpleHttpResponder::send(unsigned Status, const std::string &Body,
                               const std::string &Headers) const {
  sendRaw(fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\n{}\r\n{}", Status,
                      Body.size(), Headers, Body));
}

void SimpleHttpResponder::sendRaw(const std::string &Bytes) const {
  if (!isOpen())
    return;
  m_Socket->write(Bytes.data(), static_cast<qint64>(Bytes.size()));
  m_Socket->flush();
}

void SimpleHttpResponder::close() const {
  if (isOpen())
    m_Socket->disconnectFromHost();
}

void SimpleHttpResponder::reset() const {
  if (!isOpen())
    return;
  const linger Immediate{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(static_cast<int>(m_Socket->socketDescriptor()), SOL_SOCKET,
               SO_LINGER, &Immediate, sizeof(Immediate));
  m_Socket->abort();
}

bool SimpleHttpResponder::isOpen() const {
  return m_Socket && m_Socket->state() == QAbstractSocket::ConnectedState;
}

SimpleHttpServer::SimpleHttpServer(Handler OnRequest)
    : m_Handler(std::move(OnRequest)) {
  m_Server.listen(QHostAddress::LocalHost);
  QObject::connect(&m_Server, &QTcpServer::newConnection, &m_Server,
                   [this] { accept(); });
}

std::string SimpleHttpServer::address() const {
  return fmt::format("127.0.0.1:{}", port());
}

void SimpleHttpServer::resetConnections() {
  for (QTcpSocket *Each : m_Sockets)
    SimpleHttpResponder(Each).reset();
}

void SimpleHttpServer::crash(std::chrono::milliseconds Downtime) {
  const std::uint16_t Port = m_Server.serverPort();
  m_Server.close();
  resetConnections();
  QTimer::singleShot(Downtime, &m_Server, [this, Port] {
    m_Server.listen(QHostAddress::LocalHost, Port);
  });
}

void SimpleHttpServer::accept() {
  while (QTcpSocket *Socket = m_Server.nextPendingConnection()) {
    ++m_Accepted;
    m_Sockets.push_back(Socket); // Owned by m_Server.
    auto Buffer = std::make_shared<QByteArray>();
    QObject::connect(Socket, &QTcpSocket::readyRead, Socket,
                     [this, Socket, Buffer] {
                       *Buffer += Socket->readAll();
                       read(*Socket, *Buffer);
                     });
  }
}

void SimpleHttpServer::read(QTcpSocket &Socket, QByteArray &Buffer) {
  const qsizetype HeaderEnd = Buffer.indexOf("\r\n\r\n");
  if (HeaderEnd < 0)
    return;
  SimpleHttpRequest Request;
  const QList<QByteArray> Lines = Buffer.left(HeaderEnd).split('\n');
  const QList<QByteArray> First = Lines[0].trimmed().split(' ');
  Request.m_Method = First.value(0).toStdString();
  const QUrl Target(QString::fromUtf8(First.value(1)));
  Request.m_Path = Target.path().toStdString();
  for (const auto &[Name, Value] : QUrlQuery(Target).queryItems())
    Request.m_Query[Name.toStdString()] = Value.toStdString();
  for (qsizetype I = 1; I < Lines.size(); ++I) {
    const qsizetype Colon = Lines[I].indexOf(':');
    Request.m_Headers[Lines[I].left(Colon).trimmed().toLower().toStdString()] =
        Lines[I].mid(Colon + 1).trimmed().toStdString();
  }
  const qsizetype Length =
      QByteArray::fromStdString(Request.header("content-length")).toLongLong();
  if (Buffer.size() < HeaderEnd + 4 + Length)
    return;
  Request.m_Body = Buffer.mid(HeaderEnd + 4, Length).toStdString();
  Buffer.remove(0, HeaderEnd + 4 + Length);
  m_Handler(Request, SimpleHttpResponder(&Socket));
}

StoreStandin::StoreStandin()
    : m_Server([this](const SimpleHttpRequest &Request,
                      SimpleHttpResponder Reply) { handle(Request, Reply); }) {}

void StoreStandin::put(const std::string &Kind, const std::string &Name,
                       const QJsonObject &Spec) {
  auto &Objects = m_Content.m_Objects[Kind];
  if (const auto Found = Objects.find(Name); Found != Objects.end()) {
    if (!isChange(Kind, Found->second["spec"].toObject(), Spec)) {
      Found->second["spec"] = Spec;
      return;
    }
  }
  ++m_Content.m_Revision;
  const QJsonObject Object{
      {"meta",
       QJsonObject{{"name", toQString(Name)},
                   {"revision", static_cast<qint64>(m_Content.m_Revision)},
                   {"created", 1},
                   {"finalizers", QJsonArray{}},
                   {"deleting", false}}},
      {"spec", Spec},
      {"status", QJsonValue::Null}};
  Objects[Name] = Object;
  recordChange(Kind, Object, false);
}

void StoreStandin::putRaw(const std::string &Kind, const std::string &Name,
                          const std::string &Spec) {
  m_RawSpecs.push_back(Spec);
  put(Kind, Name, {{"raw", static_cast<int>(m_RawSpecs.size()) - 1}});
}

void StoreStandin::sendObjects(const QJsonObject &Body,
                               SimpleHttpResponder Reply) const {
  std::string Text = encodeJson(Body);
  for (std::size_t I = 0; I < m_RawSpecs.size(); ++I) {
    const std::string Placeholder = fmt::format("{{\"raw\":{}}}", I);
    if (const std::size_t At = Text.find(Placeholder); At != std::string::npos)
      Text.replace(At, Placeholder.size(), m_RawSpecs[I]);
  }
  reply(Reply, 200, Text);
}

void StoreStandin::remove(const std::string &Kind, const std::string &Name) {
  const auto Found = m_Content.m_Objects[Kind].find(Name);
  if (Found == m_Content.m_Objects[Kind].end())
    return;
  ++m_Content.m_Revision;
  QJsonObject Object = Found->second;
  m_Content.m_Objects[Kind].erase(Found);
  QJsonObject Meta = Object["meta"].toObject();
  Meta["revision"] = static_cast<qint64>(m_Content.m_Revision);
  Object["meta"] = Meta;
  recordChange(Kind, Object, true);
}

void StoreStandin::recordChange(const std::string &Kind,
                                const QJsonObject &Object, bool Removed) {
  m_Content.m_History.push_back(
      {m_Content.m_Revision, Kind,
       QJsonObject{{"tombstone", Removed}, {"object", Object}}});
  if (!m_SuppressesWatchEvents)
    m_Watches.remove_if(
        [this](const Watch &Each) { return answerWatch(Each); });
}

void StoreStandin::returnFromCopy() {
  m_Content = m_Copy;
  ++m_Era;
  dropConnections();
}

void StoreStandin::reply(SimpleHttpResponder Reply, unsigned Status,
                         const std::string &Body) const {
  Reply.send(Status, Body,
             m_Era > 0 ? fmt::format("Store-Era: {}\r\n", m_Era) : "");
}

void StoreStandin::compactHistory() {
  m_Content.m_History.clear();
  m_Content.m_CompactedRevision = m_Content.m_Revision;
}

void StoreStandin::compactHistoryAndExpireWatches(const std::string &Kind) {
  compactHistory();
  m_Watches.remove_if([&](const Watch &Each) {
    if (Each.m_Kind == Kind)
      reply(Each.m_Reply, 410, "{}");
    return Each.m_Kind == Kind;
  });
}

void StoreStandin::dropConnections() {
  m_Watches.clear();
  m_Server.resetConnections();
}

void StoreStandin::handle(const SimpleHttpRequest &Request,
                          SimpleHttpResponder Reply) {
  if (m_IsDown) {
    reply(Reply, 503, "{}");
    return;
  }
  constexpr std::string_view Prefix = "/api/objects/";
  if (!Request.m_Path.starts_with(Prefix)) {
    reply(Reply, 404, "{}");
    return;
  }
  const std::string Rest = Request.m_Path.substr(Prefix.size());
  const std::size_t Slash = Rest.find('/');
  const std::string Kind = Rest.substr(0, Slash);
  const std::string Name =
      Slash == std::string::npos ? "" : Rest.substr(Slash + 1);
  if (Request.m_Method != "GET")
    write(Kind, Name, Request, Reply);
  else if (Request.m_Query.contains("watch"))
    watch(Kind, Request, Reply);
  else
    list(Kind, Request, Reply);
}

void StoreStandin::list(const std::string &Kind,
                        const SimpleHttpRequest &Request,
                        SimpleHttpResponder Reply) {
  ++m_RequestCounts["list " + Kind];
  if (!m_ListText.empty()) {
    reply(Reply, 200, m_ListText);
    return;
  }
  const auto After = Request.m_Query.find("after");
  QJsonArray Items;
  bool More = false;
  for (const auto &[Name, Object] : m_Content.m_Objects[Kind]) {
    if (Kind == m_HiddenKind)
      break;
    if (After != Request.m_Query.end() && Name <= After->second)
      continue;
    More = static_cast<std::size_t>(Items.size()) == m_PageSize;
    if (More)
      break;
    Items.append(Object);
  }
  sendObjects({{"items", Items},
               {"more", More},
               {"current_rev", static_cast<qint64>(m_Content.m_Revision)}},
              Reply);
}

void StoreStandin::watch(const std::string &Kind,
                         const SimpleHttpRequest &Request,
                         SimpleHttpResponder Reply) {
  ++m_RequestCounts["watch " + Kind];
  if (Kind == m_UnansweredWatchKind)
    return;
  const Watch Pending{Kind, std::stoull(Request.m_Query.at("watch")), Reply,
                      ++m_WatchCount};
  if (Pending.m_AfterRevision < m_Content.m_CompactedRevision ||
      Pending.m_AfterRevision > m_Content.m_Revision)
    reply(Reply, 410, "{}");
  else if (m_SuppressesWatchEvents || !answerWatch(Pending))
    m_Watches.push_back(Pending);
  const auto Wait = Request.m_Query.find("wait_ms");
  if (Wait != Request.m_Query.end())
    QTimer::singleShot(std::chrono::milliseconds(std::stoi(Wait->second)),
                       &m_Context,
                       [this, Number = m_WatchCount] { endWatch(Number); });
}

void StoreStandin::endWatch(std::uint64_t Number) {
  const auto Found =
      std::find_if(m_Watches.begin(), m_Watches.end(),
                   [&](const Watch &Each) { return Each.m_Number == Number; });
  if (Found == m_Watches.end() || m_SuppressesWatchEvents)
    return;
  const SimpleHttpResponder Reply = Found->m_Reply;
  m_Watches.erase(Found);
  if (!m_IsDown)
    sendObjects({{"events", QJsonArray{}},
                 {"current_rev", static_cast<qint64>(m_Content.m_Revision)}},
                Reply);
}

bool StoreStandin::answerWatch(const Watch &Pending) {
  if (Pending.m_Kind == m_HiddenKind)
    return false;
  QJsonArray Events;
  for (const Change &Each : m_Content.m_History)
    if (Each.m_Kind == Pending.m_Kind &&
        Each.m_Revision > Pending.m_AfterRevision)
      Events.append(Each.m_Event);
  if (Events.isEmpty())
    return false;
  sendObjects({{"events", Events},
               {"current_rev", static_cast<qint64>(m_Content.m_Revision)}},
              Pending.m_Reply);
  return true;
}

void StoreStandin::write(const std::string &Kind, std::string Name,
                         const SimpleHttpRequest &Request,
                         SimpleHttpResponder Reply) {
  ++m_RequestCounts["write " + Kind];
  const QJsonObject Body = decodeJson(Request.m_Body);
  const bool IsCreate = Request.m_Method == "POST";
  if (IsCreate)
    Name = Body["meta"].toObject()["name"].toString().toStdString();
  const bool Exists = m_Content.m_Objects[Kind].contains(Name);
  if (IsCreate == Exists) {
    reply(Reply, IsCreate ? 409 : 404, "{}");
    return;
  }
  put(Kind, Name, Body["spec"].toObject());
  reply(Reply, 200, encodeJson(m_Content.m_Objects[Kind][Name]));
}

SearcherStandin::SearcherStandin(std::string Id, std::string Service,
                                 std::string Zone)
    : m_Id(std::move(Id)), m_Service(std::move(Service)),
      m_Zone(std::move(Zone)),
      m_Server([this](const SimpleHttpRequest &Request,
                      SimpleHttpResponder Reply) { handle(Request, Reply); }) {
  m_RunHandler = [this](const SimpleHttpRequest &Request,
                        SimpleHttpResponder Reply) {
    QTimer::singleShot(m_Delay, &m_Context,
                       [this, Request, Reply] { answer(Request, Reply); });
  };
}

QJsonObject SearcherStandin::entry(const std::string &State) const {
  return {{"service", toQString(m_Service)},
          {"address", toQString(m_Server.address())},
          {"zone", toQString(m_Zone)},
          {"version", "v1"},
          {"slots", 4},
          {"state", toQString(State)},
          {"cold_remaining_ms", qint64{m_ColdRemaining.count()}},
          {"sequence", qint64{m_Sequence}},
          {"born", qint64{m_Born}}};
}

void SearcherStandin::answer(const SimpleHttpRequest &Request,
                             SimpleHttpResponder Reply) const {
  Reply.send(200, m_Body,
             fmt::format("X-Request-Id: {}\r\nX-Server-Stamp: stamp-{}-{}\r\n",
                         Request.header("x-request-id"), m_Id,
                         Request.header("x-request-id")));
}

void SearcherStandin::handle(const SimpleHttpRequest &Request,
                             SimpleHttpResponder Reply) {
  if (Request.header("x-expect-instance") != m_Id) {
    Reply.send(421, "", fmt::format("X-Instance-Id: {}\r\n", m_Id));
    return;
  }
  m_RunRequests.push_back(Request);
  m_DeadlineHeaders.push_back(Request.header("x-deadline-milliseconds"));
  m_RunHandler(Request, Reply);
}

} // namespace figturn::standin
