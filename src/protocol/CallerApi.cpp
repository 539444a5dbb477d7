#include "protocol/CallerApi.h"

#include "protocol/JsonConvert.h"
#include "state/RendezvousHash.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <cmath>
#include <fmt/format.h>
#include <initializer_list>
#include <map>

namespace figturn {

namespace {

constexpr std::size_t MaxKeyBytes = 200;
constexpr std::uint32_t MaxLimit = 1000;
constexpr std::int64_t MaxDeadlineMs = 600'000;

Refusal badRequest(std::string Message, Errc Reason = Errc::BadRequest) {
  return {.m_Verdict = RunVerdict::NotRun,
          .m_Reason = Reason,
          .m_Message = std::move(Message)};
}

/** Reads the fields of a request and records the first error. */
class FieldReader {
public:
  explicit FieldReader(const QJsonObject &Object) : m_Object(Object) {}

  void allowOnly(std::initializer_list<const char *> Names) {
    for (const QString &Key : m_Object.keys()) {
      const bool Known =
          std::any_of(Names.begin(), Names.end(), [&](const char *Name) {
            return Key == QLatin1String(Name);
          });
      if (!Known)
        recordError(fmt::format("unknown field \"{}\"", Key.toStdString()));
    }
  }

  std::string text(const char *Name, bool Required) {
    const QJsonValue Value = m_Object.value(QLatin1String(Name));
    if (Value.isUndefined() && !Required)
      return {};
    if (!Value.isString() || Value.toString().isEmpty()) {
      recordError(fmt::format("field \"{}\" must be a non-empty string", Name));
      return {};
    }
    return Value.toString().toStdString();
  }

  std::optional<std::int64_t> integer(const char *Name, std::int64_t Max) {
    const QJsonValue Value = m_Object.value(QLatin1String(Name));
    if (Value.isUndefined())
      return std::nullopt;
    const double Number = Value.toDouble(-1);
    const bool IsInteger = Value.isDouble() && Number == std::floor(Number);
    if (!IsInteger || Number < 1 || Number > static_cast<double>(Max)) {
      recordError(fmt::format("field \"{}\" must be an integer from 1 to {}",
                              Name, Max));
      return std::nullopt;
    }
    return static_cast<std::int64_t>(Number);
  }

  QJsonObject object(const char *Name, bool Required) {
    const QJsonValue Value = m_Object.value(QLatin1String(Name));
    if ((Value.isUndefined() && Required) ||
        (!Value.isUndefined() && !Value.isObject()))
      recordError(fmt::format("field \"{}\" must be an object", Name));
    return Value.toObject();
  }

  void recordError(std::string Message) {
    if (m_FirstError.empty())
      m_FirstError = std::move(Message);
  }

  const std::string &firstError() const { return m_FirstError; }

private:
  const QJsonObject &m_Object;
  std::string m_FirstError;
};

bool readUrgent(FieldReader &Fields, const QJsonObject &Object) {
  const QJsonValue Value = Object.value(QLatin1String("priority"));
  if (Value.isUndefined() || Value == QLatin1String("ordinary"))
    return false;
  if (Value == QLatin1String("urgent"))
    return true;
  Fields.recordError("field \"priority\" must be \"urgent\" or \"ordinary\"");
  return false;
}

void readSearch(CallerRequest &Request, FieldReader &Fields) {
  const QJsonObject Query = Fields.object("query", true);
  FieldReader QueryFields(Query);
  QueryFields.allowOnly({"text", "limit"});
  Request.m_Text = QueryFields.text("text", true);
  if (const auto Limit = QueryFields.integer("limit", MaxLimit))
    Request.m_Limit = static_cast<std::uint32_t>(*Limit);
  if (!QueryFields.firstError().empty())
    Fields.recordError("query: " + QueryFields.firstError());
}

QJsonObject encodeCoverage(const Coverage &Value) {
  return {{"shardsAnswered", static_cast<qint64>(Value.m_ShardsAnswered)},
          {"shardsTotal", static_cast<qint64>(Value.m_ShardsTotal)},
          {"documentsAnswered", static_cast<qint64>(Value.m_DocumentsAnswered)},
          {"documentsTotal", static_cast<qint64>(Value.m_DocumentsTotal)}};
}

QJsonObject encodeHeader(const CallerRequest &Request,
                         const QueryAnswer &Answer) {
  return {{"requestId", toQt(Request.m_Key.value())},
          {"service", toQt(Request.m_Service.value())},
          {"indexVersion", static_cast<qint64>(Answer.m_Version.value())},
          {"coverage", encodeCoverage(Answer.m_Coverage)}};
}

} // namespace

Fingerprint CallerRequest::fingerprint() const {
  const std::string Canonical =
      fmt::format("{}\n{}\n{}\n{}\n{}\n{}", m_Service, static_cast<int>(m_Kind),
                  m_Text, m_Limit, m_Record, toCompactJson(m_Body));
  return Fingerprint(stableHash(Canonical));
}

std::optional<CallerPath> parseCallerPath(std::string_view Path) {
  constexpr std::string_view Prefix = "/v1/services/";
  static const std::map<std::string_view, RequestKind> Kinds = {
      {"search", RequestKind::Search},
      {"lookup", RequestKind::Lookup},
      {"run", RequestKind::Run}};
  if (Path.substr(0, Prefix.size()) != Prefix)
    return std::nullopt;
  Path.remove_prefix(Prefix.size());
  const auto Slash = Path.find('/');
  if (Slash == std::string_view::npos || Slash == 0)
    return std::nullopt;
  const auto Kind = Kinds.find(Path.substr(Slash + 1));
  if (Kind == Kinds.end())
    return std::nullopt;
  return CallerPath{ServiceName(std::string(Path.substr(0, Slash))),
                    Kind->second};
}

std::variant<CallerRequest, Refusal>
decodeCallerRequest(const CallerPath &Path, std::string_view Body) {
  QJsonParseError ParseError;
  const auto Document = QJsonDocument::fromJson(
      QByteArray(Body.data(), static_cast<qsizetype>(Body.size())),
      &ParseError);
  if (ParseError.error != QJsonParseError::NoError)
    return badRequest(fmt::format("body is not valid JSON: {} at byte {}",
                                  ParseError.errorString().toStdString(),
                                  ParseError.offset));
  if (!Document.isObject())
    return badRequest("body must be a JSON object");
  const QJsonObject Object = Document.object();
  FieldReader Fields(Object);
  CallerRequest Request{.m_Kind = Path.m_Kind, .m_Service = Path.m_Service};
  const bool NeedsKey = Path.m_Kind == RequestKind::Run;
  if (NeedsKey && Object.value(QLatin1String("requestId")).isUndefined())
    return badRequest("a run request needs a \"requestId\" that is the same "
                      "in every attempt",
                      Errc::MissingKey);
  Request.m_Key = RequestKey(Fields.text("requestId", NeedsKey));
  if (Request.m_Key.value().size() > MaxKeyBytes)
    Fields.recordError(fmt::format(
        "field \"requestId\" is longer than {} bytes", MaxKeyBytes));
  if (const auto Deadline = Fields.integer("deadlineMs", MaxDeadlineMs))
    Request.m_Deadline = milliseconds(*Deadline);
  Request.m_Urgent = readUrgent(Fields, Object);
  switch (Path.m_Kind) {
  case RequestKind::Search:
    Fields.allowOnly({"requestId", "deadlineMs", "priority", "query"});
    readSearch(Request, Fields);
    break;
  case RequestKind::Lookup:
    Fields.allowOnly({"requestId", "deadlineMs", "priority", "record"});
    Request.m_Record = Fields.text("record", true);
    break;
  case RequestKind::Run:
    Fields.allowOnly({"requestId", "deadlineMs", "priority", "record", "body"});
    Request.m_Record = Fields.text("record", true);
    Request.m_Body = Fields.object("body", false);
    break;
  }
  if (!Fields.firstError().empty())
    return badRequest(Fields.firstError());
  return Request;
}

unsigned httpStatus(std::error_code Reason) {
  if (Reason.category() != errcCategory())
    return 500;
  static const std::map<Errc, unsigned> Statuses = {
      {Errc::BadRequest, 400},
      {Errc::MissingKey, 400},
      {Errc::UnknownService, 404},
      {Errc::RecordNotFound, 404},
      {Errc::HeaderTimeout, 408},
      {Errc::KeyReused, 409},
      {Errc::AttemptInProgress, 409},
      {Errc::BodyTooLarge, 413},
      {Errc::Quarantined, 422},
      {Errc::Overloaded, 503},
      {Errc::NotReady, 503},
      {Errc::Draining, 503},
      {Errc::PlatformUnavailable, 503},
      {Errc::NoTarget, 503},
      {Errc::DeadlineExceeded, 504}};
  const auto Found = Statuses.find(static_cast<Errc>(Reason.value()));
  return Found == Statuses.end() ? 502 : Found->second;
}

std::string encodeRefusal(const RequestKey &Key, const Refusal &Refused) {
  return toCompactJson({{"requestId", toQt(Key.value())},
                        {"verdict", toQt(verdictName(Refused.m_Verdict))},
                        {"reason", toQt(Refused.m_Reason.message())},
                        {"message", toQt(Refused.m_Message)}});
}

std::string encodeSearchAnswer(const CallerRequest &Request,
                               const QueryAnswer &Answer) {
  QJsonArray Hits;
  for (const Hit &Each : Answer.m_Hits)
    Hits.append(QJsonObject{{"id", toQt(Each.m_Id)},
                            {"score", Each.m_Score},
                            {"fields", parseJsonObject(Each.m_Payload)}});
  QJsonObject Object = encodeHeader(Request, Answer);
  Object.insert("hits", Hits);
  return toCompactJson(Object);
}

std::string encodeLookupAnswer(const CallerRequest &Request,
                               const QueryAnswer &Answer) {
  QJsonObject Object = encodeHeader(Request, Answer);
  Object.insert("found", !Answer.m_Hits.empty());
  if (!Answer.m_Hits.empty())
    Object.insert("record", parseJsonObject(Answer.m_Hits.front().m_Payload));
  return toCompactJson(Object);
}

std::string encodeRunAnswer(const ServiceName &Service, const RequestKey &Key,
                            std::string_view Result) {
  // QJsonDocument can't parse a bare value, so it is wrapped in an array.
  const QByteArray Wrapped =
      "[" + QByteArray(Result.data(), static_cast<qsizetype>(Result.size())) +
      "]";
  const QJsonArray Parsed = QJsonDocument::fromJson(Wrapped).array();
  return toCompactJson(
      {{"requestId", toQt(Key.value())},
       {"service", toQt(Service.value())},
       {"verdict", toQt(verdictName(RunVerdict::Ran))},
       {"result", Parsed.isEmpty() ? QJsonValue() : Parsed[0]}});
}

std::string encodeEntries(const std::vector<EntryAddress> &Entries,
                          milliseconds Lifetime) {
  QJsonArray List;
  for (const EntryAddress &Entry : Entries)
    List.append(QJsonObject{{"vm", toQt(Entry.m_Vm.value())},
                            {"dataCentre", toQt(Entry.m_DataCentre.value())},
                            {"address", toQt(Entry.m_Address)}});
  return toCompactJson({{"entries", List},
                        {"lifetimeMs", static_cast<qint64>(Lifetime.count())}});
}

} // namespace figturn
