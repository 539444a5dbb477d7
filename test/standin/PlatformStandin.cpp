#include "standin/PlatformStandin.h"

#include "protocol/JsonConvert.h"

#include <QTimer>
#include <QUrl>
#include <algorithm>
#include <fmt/format.h>

namespace figturn::standin {

namespace {

constexpr std::string_view ObjectsPath = "/v1/objects/";
constexpr std::string_view IndexPath = "/v1/objects/index/";
constexpr std::string_view WatchPath = "/v1/watch/";
constexpr std::string_view ListPath = "/v1/list";
constexpr std::string_view VmsPath = "/v1/vms";
constexpr std::string_view ControlPath = "/control";

StandinReply reply(unsigned Status, const QJsonObject &Body = {}) {
  return {.m_Status = Status, .m_Body = toCompactJson(Body)};
}

StandinReply versionReply(unsigned Status, std::uint64_t Version) {
  return reply(Status, {{"version", toJson(Version)}});
}

StandinReply objectReply(const StoredObject &Object) {
  return {.m_Status = 200,
          .m_Body = Object.m_Body,
          .m_Headers = {{"ETag", fmt::format("\"{}\"", Object.m_Version)}}};
}

WritePrecondition parsePrecondition(const StandinRequest &Request) {
  WritePrecondition Precondition{.m_IfAbsent = Request.m_IfNoneMatch == "*"};
  if (!Request.m_IfMatch.empty())
    Precondition.m_IfVersion =
        QString::fromStdString(Request.m_IfMatch).remove('"').toULongLong();
  return Precondition;
}

/** The part of \p Path after \p Prefix, percent-decoded. */
std::string decodeSuffix(const std::string &Path, std::string_view Prefix) {
  const auto Rest = QByteArray::fromStdString(Path.substr(Prefix.size()));
  return QByteArray::fromPercentEncoding(Rest).toStdString();
}

} // namespace

PlatformStandin::PlatformStandin()
    : m_Server(0, [this](const StandinExchange &E) { handle(E); }) {}

void PlatformStandin::put(const std::string &Path, const std::string &Body) {
  m_Objects.put(Path, Body);
  answerDueWatches(Path);
}

void PlatformStandin::handle(const StandinExchange &Exchange) {
  if (Exchange.request().m_Path.starts_with(ControlPath))
    return handleControl(Exchange);
  if (m_IsSilent)
    return;
  const bool IsIndexRead =
      Exchange.request().m_Method == "GET" &&
      decodeSuffix(Exchange.request().m_Path, "").starts_with(IndexPath);
  const milliseconds Delay =
      IsIndexRead ? std::max(m_Delay, m_IndexDelay) : m_Delay;
  if (Delay.count() == 0)
    return serve(Exchange);
  QTimer::singleShot(Delay, &m_Context, [this, Exchange] { serve(Exchange); });
}

void PlatformStandin::serve(const StandinExchange &Exchange) {
  const std::string &Path = Exchange.request().m_Path;
  // The VM list is a separate service and stays available during store outages.
  if (m_IsUnavailable && Path != VmsPath) {
    ++m_Counters.m_Refused;
    return Exchange.respond(reply(503));
  }
  if (Path.starts_with(ObjectsPath))
    return serveObject(Exchange, decodeSuffix(Path, ObjectsPath));
  if (Path.starts_with(WatchPath))
    return startWatch(Exchange, decodeSuffix(Path, WatchPath));
  if (Path == ListPath)
    return list(Exchange);
  if (Path != VmsPath)
    return Exchange.respond(reply(404));
  ++m_Counters.m_VmLists;
  Exchange.respond(reply(200, {{"vms", m_Vms}}));
}

void PlatformStandin::serveObject(const StandinExchange &Exchange,
                                  const std::string &Path) {
  const std::string &Method = Exchange.request().m_Method;
  if (Method == "GET")
    return read(Exchange, Path);
  if (Method == "PUT" || Method == "DELETE")
    return write(Exchange, Path);
  Exchange.respond(reply(405));
}

void PlatformStandin::read(const StandinExchange &Exchange,
                           const std::string &Path) {
  ++m_Counters.m_Reads;
  const StoredObject *Object = m_StaleReads.consume()
                                   ? m_Objects.findPrevious(Path)
                                   : m_Objects.find(Path);
  Exchange.respond(Object != nullptr ? objectReply(*Object) : reply(404));
}

void PlatformStandin::write(const StandinExchange &Exchange,
                            const std::string &Path) {
  ++m_Counters.m_Writes;
  const StandinRequest &Request = Exchange.request();
  if (Request.m_Body.size() > ObjectTable::MaxBodyBytes)
    return Exchange.respond(reply(413));
  const StoredObject *Current = m_Objects.find(Path);
  const bool IsDelete = Request.m_Method == "DELETE";
  if (IsDelete && Current == nullptr)
    return Exchange.respond(reply(404));
  if (!m_Objects.allows(Path, parsePrecondition(Request))) {
    ++m_Counters.m_Conflicts;
    return Exchange.respond(
        versionReply(412, Current != nullptr ? Current->m_Version : 0));
  }
  const std::uint64_t Version =
      IsDelete ? m_Objects.remove(Path) : m_Objects.put(Path, Request.m_Body);
  if (m_LostWriteReplies.consume())
    Exchange.close();
  else
    Exchange.respond(versionReply(200, Version));
  answerDueWatches(Path);
}

void PlatformStandin::startWatch(const StandinExchange &Exchange,
                                 const std::string &Path) {
  ++m_Counters.m_Watches;
  const StandinRequest &Request = Exchange.request();
  const auto Started = std::make_shared<Watch>(
      Watch{.m_Exchange = Exchange,
            .m_Path = Path,
            .m_AfterVersion = std::stoull("0" + Request.queryValue("after"))});
  m_Watches.push_back(Started);
  m_Counters.m_MaxWaitingWatches =
      std::max(m_Counters.m_MaxWaitingWatches, m_Watches.size());
  const milliseconds Wait(std::stoll("0" + Request.queryValue("waitMs")));
  QTimer::singleShot(Wait, &m_Context, [this, Started] {
    const bool IsWaiting = m_Watches.remove(Started) > 0;
    if (IsWaiting && !m_AreWatchesSilent)
      Started->m_Exchange.respond({.m_Status = 204});
  });
  answerDueWatches(Path);
}

void PlatformStandin::answerDueWatches(const std::string &Path) {
  const StoredObject *Object = m_Objects.find(Path);
  if (Object == nullptr || m_AreWatchesSilent)
    return;
  const auto IsDue = [&](const WatchPtr &W) {
    return W->m_Path == Path && Object->m_Version > W->m_AfterVersion;
  };
  for (const WatchPtr &Waiting : m_Watches)
    if (IsDue(Waiting))
      Waiting->m_Exchange.respond(objectReply(*Object));
  m_Watches.remove_if(IsDue);
}

void PlatformStandin::list(const StandinExchange &Exchange) {
  ++m_Counters.m_Lists;
  QJsonArray Objects;
  for (const auto &[Path, Version] :
       m_Objects.list(Exchange.request().queryValue("prefix")))
    Objects.append(
        QJsonObject{{"path", toQt(Path)}, {"version", toJson(Version)}});
  Exchange.respond(reply(200, {{"objects", Objects}}));
}

void PlatformStandin::handleControl(const StandinExchange &Exchange) {
  const StandinRequest &Request = Exchange.request();
  if (Request.m_Method == "POST")
    applyControl(parseJsonObject(Request.m_Body));
  Exchange.respond(reply(200, countersJson()));
}

void PlatformStandin::applyControl(const QJsonObject &Control) {
  if (Control.contains("outage"))
    m_IsUnavailable = Control["outage"].toBool();
  if (Control.contains("silent"))
    m_IsSilent = Control["silent"].toBool();
  if (Control.contains("silentWatches"))
    m_AreWatchesSilent = Control["silentWatches"].toBool();
  if (Control.contains("delayMs"))
    m_Delay = milliseconds(Control["delayMs"].toInteger());
  if (Control.contains("indexDelayMs"))
    m_IndexDelay = milliseconds(Control["indexDelayMs"].toInteger());
  if (Control.contains("vms"))
    m_Vms = Control["vms"].toArray();
  const auto Lost = countAt(Control, "loseNextWriteAnswers");
  if (Lost)
    m_LostWriteReplies.set(static_cast<std::uint32_t>(*Lost));
  const auto Stale = countAt(Control, "staleReads");
  if (Stale)
    m_StaleReads.set(static_cast<std::uint32_t>(*Stale));
}

QJsonObject PlatformStandin::countersJson() const {
  return {{"reads", toJson(m_Counters.m_Reads)},
          {"writes", toJson(m_Counters.m_Writes)},
          {"conflicts", toJson(m_Counters.m_Conflicts)},
          {"lists", toJson(m_Counters.m_Lists)},
          {"watches", toJson(m_Counters.m_Watches)},
          {"vmLists", toJson(m_Counters.m_VmLists)},
          {"refused", toJson(m_Counters.m_Refused)},
          {"waitingWatches", toJson(m_Watches.size())},
          {"mostWaitingWatches", toJson(m_Counters.m_MaxWaitingWatches)}};
}

} // namespace figturn::standin
